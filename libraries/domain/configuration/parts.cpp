#include "libraries/domain/configuration/parts.hpp"

#include "libraries/domain/configuration/object_lists.hpp"
#include "libraries/domain/digest.hpp"

#include <array>
#include <map>
#include <xxhash.h>

namespace turmeric::domain
{

namespace
{

constexpr std::string_view hex_digits = "0123456789abcdef";

} // namespace

std::string account_part_name(std::string_view account)
{
    const std::size_t index = digest_of(account) % account_part_count;
    std::string name = "accounts/";
    name += hex_digits[index / hex_digits.size()];
    name += hex_digits[index % hex_digits.size()];
    return name;
}

std::vector<configuration_part> split_configuration(const configuration& source)
{
    std::map<std::string, configuration> contents;
    for (const account_declaration& account : source.accounts)
    {
        const std::string name = account_part_name(account.name);
        contents[name].accounts.push_back(account);
    }
    configuration& upstreams = contents["upstreams"];
    upstreams.upstreams = source.upstreams;
    upstreams.vms = source.vms;
    contents["routes"].routes = source.routes;
    contents["moves"].moves = source.moves;

    std::vector<configuration_part> parts;
    for (auto& [name, content] : contents)
    {
        if (content == configuration{})
        {
            continue;
        }
        sort_objects(content);
        parts.push_back({name, std::move(content)});
    }
    return parts;
}

configuration join_configuration(std::int64_t version,
                                 const std::vector<configuration_part>& parts)
{
    configuration joined;
    joined.version = version;
    for (const configuration_part& part : parts)
    {
        visit_object_lists(
            [&](const auto& objects)
            {
                auto& into = joined.*objects.list;
                const auto& from = part.content.*objects.list;
                into.insert(into.end(), from.begin(), from.end());
            });
    }
    sort_objects(joined);
    return joined;
}

std::string part_digest(std::string_view text)
{
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical,
                             XXH3_128bits(text.data(), text.size()));
    std::string hex;
    for (const unsigned char byte : canonical.digest)
    {
        hex += hex_digits[byte / hex_digits.size()];
        hex += hex_digits[byte % hex_digits.size()];
    }
    return hex;
}

} // namespace turmeric::domain
