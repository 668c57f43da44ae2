#include <rapidcheck.h>

#include "libraries/codecs/configuration/configuration_codec.hpp"
#include "libraries/domain/configuration/changes.hpp"
#include "libraries/domain/configuration/validation.hpp"
#include "tests/configuration/sample_configurations.hpp"

#include <functional>

#include <CppUTest/TestHarness.h>

using namespace turmeric;

namespace
{

struct invalid_case
{
    const char* path;
    std::function<void(domain::configuration&)> invalidate;
};

domain::configuration sample_with_all_kinds()
{
    for (std::uint32_t seed = 0;; ++seed)
    {
        domain::configuration sample = tests::sample_configuration(seed);
        if (sample.accounts.size() > 1 && sample.upstreams.size() > 1 &&
            !sample.moves.empty() && !sample.vms.empty())
        {
            return sample;
        }
    }
}

const std::vector<invalid_case>& invalid_cases()
{
    using domain::configuration;
    static const std::vector<invalid_case> cases = {
        {"route/chat.versions", [](configuration& c)
         { c.routes[0].versions[0].parts_per_million = 1; }},
        {"route/chat.versions[1].version",
         [](configuration& c) { c.routes[0].versions[1].version = "v1"; }},
        {"route/chat.max_tokens",
         [](configuration& c) { c.routes[0].max_tokens = -1; }},
        {"route/chat.tokens_per_call",
         [](configuration& c) { c.routes[0].tokens_per_call = -5; }},
        {"route/chat.idle_timeout_ms", [](configuration& c)
         { c.routes[0].idle_timeout = std::chrono::milliseconds(0); }},
        {"route/chat.objective.availability",
         [](configuration& c) { c.routes[0].objective.availability = 1.5; }},
        {"route/Chat",
         [](configuration& c)
         {
             c.routes.push_back(c.routes[0]);
             c.routes[1].name = "Chat";
         }},
        {"account/x.weight",
         [](configuration& c)
         {
             c.accounts[0].name = "x";
             c.accounts[0].weight = 0;
         }},
        {"account/x.key_digests[0]",
         [](configuration& c)
         {
             c.accounts[0].name = "x";
             c.accounts[0].key_digests = {"abc"};
         }},
        {"account/x.key_digests[0]",
         [](configuration& c)
         {
             c.accounts[1].name = "x";
             c.accounts[1].key_digests = c.accounts[0].key_digests;
         }},
        {"account/x.budgets[1].routes[0]",
         [](configuration& c)
         {
             c.accounts[0].name = "x";
             c.accounts[0].budgets[1].routes = {"no"};
         }},
        {"upstream/x.address",
         [](configuration& c)
         {
             c.upstreams[0].name = "x";
             c.upstreams[0].address = "host:0";
         }},
        {"upstream/x.address",
         [](configuration& c)
         {
             c.upstreams[1].name = "x";
             c.upstreams[1].address = c.upstreams[0].address;
         }},
        {"upstream/x.capacity",
         [](configuration& c)
         {
             c.upstreams[0].name = "x";
             c.upstreams[0].capacity = 0;
         }},
        {"move/chat.deadline",
         [](configuration& c) { c.moves[0].deadline = c.moves[0].start; }},
        {"move/chat.to_version",
         [](configuration& c) { c.moves[0].to_version = "v1"; }},
        {"move/chat.steps",
         [](configuration& c) {
             c.moves[0].steps = {1, 2};
         }},
        {"move/chat.steps[1]",
         [](configuration& c) {
             c.moves[0].steps = {5, 5, 1'000'000};
         }},
        {"vm/vm-1", [](configuration& c) { c.vms.push_back(c.vms[0]); }},
    };
    return cases;
}

std::string error_path_of(const char* text)
{
    domain::configuration into;
    const status read =
        codecs::decode_declaration(json::parse(text), "f.json", into);
    return read ? "" : read.failure().field;
}

} // namespace

TEST_GROUP(configuration_validation){};

TEST(configuration_validation, accepts_a_valid_configuration)
{
    CHECK(domain::validate(sample_with_all_kinds()).empty());
}

TEST(configuration_validation, names_the_field_of_each_error)
{
    for (const invalid_case& invalid : invalid_cases())
    {
        domain::configuration broken = sample_with_all_kinds();
        invalid.invalidate(broken);
        const std::vector<error> errors = domain::validate(broken);
        CHECK_FALSE(errors.empty());
        STRCMP_EQUAL(invalid.path, errors.front().field.c_str());
        CHECK(result_code::configuration_invalid == errors.front().code);
    }
}

TEST(configuration_validation, a_decoding_error_names_the_field)
{
    STRCMP_EQUAL("f.json.kind", error_path_of(R"({"kind": "sledge"})").c_str());
    STRCMP_EQUAL("f.json", error_path_of("[]").c_str());
    STRCMP_EQUAL("f.json.name", error_path_of(R"({"kind": "vm"})").c_str());
    STRCMP_EQUAL("f.json.colour",
                 error_path_of(R"({"kind": "vm", "colour": 1})").c_str());
    STRCMP_EQUAL("f.json.versions[0].parts_per_million",
                 error_path_of(R"({"kind": "route", "name": "r", "versions":
            [{"version": "v", "parts_per_million": 9999999999}]})")
                     .c_str());
    STRCMP_EQUAL("f.json.start",
                 error_path_of(R"({"kind": "move", "route": "r", "from_version":
            "a", "to_version": "b", "start": "2026-02-30T00:00:00Z"})")
                     .c_str());
}

TEST(configuration_validation, rejects_a_part_that_exceeds_the_size_limit)
{
    domain::configuration_part part{"upstreams", {}};
    domain::upstream_declaration upstream;
    upstream.versions = std::vector<std::string>(1000, "version");
    part.content.upstreams.assign(100, upstream);
    const result<std::string> written = codecs::encode_part(part);
    CHECK_FALSE(written.has_value());
    STRCMP_EQUAL("upstreams", written.failure().field.c_str());
}

TEST(configuration_validation, declarations_turn_one_configuration_into_another)
{
    CHECK(rc::check(
        "a complete set replaces all objects but VMs, a partial one only "
        "adds or changes",
        [](std::uint16_t from_seed, std::uint16_t to_seed)
        {
            const domain::configuration from =
                tests::sample_configuration(from_seed);
            const domain::configuration to =
                tests::sample_configuration(to_seed);
            RC_ASSERT(domain::changes_between(from, from).empty());
            domain::configuration complete =
                domain::with_declarations(from, {to, {}, true});
            RC_ASSERT(complete.vms.size() >= from.vms.size());
            complete.vms = to.vms;
            RC_ASSERT(complete == to);
            const domain::configuration partial =
                domain::with_declarations(from, {to, {}, false});
            for (const domain::object_change& change :
                 domain::changes_between(from, partial))
            {
                RC_ASSERT(change.change != domain::change_kind::removed);
            }
            RC_ASSERT(domain::join_configuration(
                          0, domain::split_configuration(from)) == from);
        }));
}
