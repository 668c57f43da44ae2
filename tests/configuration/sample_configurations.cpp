#include "tests/configuration/sample_configurations.hpp"

#include "libraries/codecs/configuration/configuration_codec.hpp"

#include <random>

namespace turmeric::tests
{

namespace
{

using generator = std::mt19937;

bool is_chosen(generator& random)
{
    return random() % 2 == 0;
}

domain::account_declaration sample_account(generator& random, int index)
{
    domain::account_declaration account;
    account.name = "account-" + std::to_string(index);
    const char digit = static_cast<char>('0' + index);
    account.key_digests = {std::string(64, digit)};
    account.budgets = {{"main", {}}, {"trial", {"chat"}}};
    account.weight = static_cast<int>(random() % 9) + 1;
    return account;
}

domain::upstream_declaration sample_upstream(generator& random, int index)
{
    domain::upstream_declaration upstream;
    upstream.name = "engine-" + std::to_string(index);
    upstream.address = "127.0.0.1:" + std::to_string(9000 + index);
    upstream.data_centre = "north";
    upstream.versions = {"v1", "v2"};
    upstream.capacity = static_cast<int>(random() % 64) + 1;
    upstream.has_fencing = is_chosen(random);
    return upstream;
}

} // namespace

domain::configuration sample_configuration(std::uint32_t seed)
{
    generator random(seed);
    domain::configuration sample;
    domain::route_declaration route;
    route.name = "chat";
    route.versions = {{"v1", 750'000}, {"v2", 250'000}};
    route.max_tokens = static_cast<domain::tokens>(random() % 4096) + 1;
    sample.routes = {route};
    for (int index = 0; index < 6; ++index)
    {
        if (is_chosen(random))
        {
            sample.accounts.push_back(sample_account(random, index));
        }
        if (is_chosen(random))
        {
            sample.upstreams.push_back(sample_upstream(random, index));
        }
    }
    if (is_chosen(random))
    {
        domain::move_declaration move;
        move.route = "chat";
        move.from_version = "v1";
        move.to_version = "v2";
        move.start += std::chrono::milliseconds(random());
        move.deadline = move.start + std::chrono::hours(1);
        sample.moves = {move};
    }
    if (is_chosen(random))
    {
        sample.vms = {{"vm-1", domain::upstream_state::leaving}};
    }
    return sample;
}

domain::configuration configuration_with_account(const std::string& name,
                                                 int weight)
{
    domain::configuration declared;
    domain::account_declaration account;
    account.name = name;
    account.weight = weight;
    declared.accounts = {account};
    return declared;
}

stored_version make_stored_version(domain::configuration content,
                                   std::int64_t version)
{
    stored_version stored;
    content.version = version;
    stored.content = content;
    stored.head.version = version;
    stored.head.writer = "writer";
    for (const domain::configuration_part& part :
         domain::split_configuration(content))
    {
        stored.parts.push_back(codecs::encode_part(part).value());
        stored.head.parts[part.name] = domain::part_digest(stored.parts.back());
    }
    return stored;
}

} // namespace turmeric::tests
