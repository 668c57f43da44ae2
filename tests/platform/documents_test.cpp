#include "platform/documents.hpp"

#include "libraries/core/json.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::platform;

namespace
{

constexpr const char* configuration = R"({"Version":7,"Routes":[
    {"Name":"r1","Host":"shop.example","Prefix":"/a/","Kind":"streaming",
     "TimeoutMs":5000,"SloMs":500,"Priority":1,"MaxAttempts":2,
     "TrafficSplit":[{"Service":"m","Weight":90},{"Service":"n","Weight":10}],
     "Resumable":true,"Sticky":true,"Later":{"x":1}},
    {"Name":"r2","Host":"shop.example","Prefix":"/b/","Kind":"new-kind",
     "TimeoutMs":800,"Service":"n"}],
    "Services":[{"Name":"m","MaxConns":360,"HealthPath":"/up","Engine":
      {"Slots":64,"KvCapacity":587418,"Stride":5}},{"Name":"n","MaxConns":9}],
    "Limits":{"MaxHeaderBytes":16384,"IdleTimeoutMs":9000},
    "Tenants":[{"Name":"acme","ApiKeys":["k"],"Priority":1,"Prepaid":99}]})";

} // namespace

TEST_GROUP(platform_documents_group){};

TEST(platform_documents_group, a_configuration_is_read)
{
    const domain::route_declarations read =
        read_configuration(configuration).value();
    LONGS_EQUAL(7, read.version);
    LONGS_EQUAL(2, read.routes[0].services.size());
    CHECK(read.routes[0].is_repeatable());
    CHECK(read.routes[0].carries_prompts);
    CHECK_FALSE(read.routes[1].carries_prompts);
    LONGS_EQUAL(500, read.routes[0].objective.count());
    LONGS_EQUAL(5, read.services[0].engine->tokens_per_event);
    CHECK_FALSE(read.services[1].engine.has_value());
    STRCMP_EQUAL("/up", read.services[0].health_path.c_str());
    STRCMP_EQUAL("/", read.services[1].health_path.c_str());
    LONGS_EQUAL(99, *read.accounts[0].prepaid_tokens);
    LONGS_EQUAL(9'000, read.limits.idle_timeout.count());
    LONGS_EQUAL(3'000, read.limits.header_timeout.count());
}

TEST(platform_documents_group, an_unknown_kind_runs_at_most_once)
{
    const domain::route_declarations read =
        read_configuration(configuration).value();
    CHECK(read.routes[1].kind == domain::request_kind::at_most_once);
    LONGS_EQUAL(1, read.routes[1].max_attempts);
}

TEST(platform_documents_group, a_health_path_that_is_no_path_is_an_error)
{
    for (const char* path :
         {R"("up")", R"("")", "7", R"("/up HTTP/1.1\r\nX: y")"})
    {
        const result<domain::route_declarations> read = read_configuration(
            std::string(
                R"({"Version":1,"Services":[{"Name":"s","HealthPath":)") +
            path + "}]}");
        CHECK_FALSE(read.has_value());
        STRCMP_EQUAL("Services[0].HealthPath", read.failure().field.c_str());
    }
}

TEST(platform_documents_group, an_order_to_move_a_service_is_read)
{
    const domain::rollout_order order =
        read_rollout_order(R"({"Service":"m","Target":"v2","OverS":12})")
            .value();
    STRCMP_EQUAL("m", order.service.c_str());
    STRCMP_EQUAL("v2", order.to_version.c_str());
    LONGS_EQUAL(12'000, order.time_limit.count());
    for (const char* odd : {"", "[]", R"({"Service":"m","Target":"v2"})",
                            R"({"Service":"m","Target":"v2","OverS":0})",
                            R"({"Service":"m","Target":"v2","OverS":1e18})",
                            R"({"Service":7,"Target":"v2","OverS":12})"})
    {
        CHECK_FALSE(read_rollout_order(odd).has_value());
    }
}

TEST(platform_documents_group, operators_read_how_far_a_move_is)
{
    domain::move_state state =
        domain::initial_state({"m", "v2", std::chrono::seconds(12), 3}, 50'000);
    for (const auto& [phase, name] :
         {std::pair{domain::move_phase::ramping, "running"},
          std::pair{domain::move_phase::soaking, "running"},
          std::pair{domain::move_phase::finished, "done"},
          std::pair{domain::move_phase::rolling_back, "rolled_back"},
          std::pair{domain::move_phase::rolled_back, "rolled_back"}})
    {
        state.phase = phase;
        const ports::key_write written = write_rollout_status(state);
        STRCMP_EQUAL("status/rollout/m", written.key.c_str());
        const json status = json::parse(written.value);
        CHECK(status["State"] == name);
        CHECK(status["Target"] == "v2");
        CHECK(status["Service"] == "m");
    }
}

TEST(platform_documents_group, the_time_that_an_upstream_is_cold_is_read)
{
    const std::string entry = R"({"Service":"m","Address":"10.0.0.1:80",
        "Zone":"east","Version":"v1","Slots":4,"State":"ready")";
    const std::string key = "servers/i-1";
    LONGS_EQUAL(2'500, read_upstream(key, entry + R"(,"ColdLeftMs":2500})")
                           .value()
                           .cold_left.count());
    LONGS_EQUAL(0, read_upstream(key, entry + "}").value().cold_left.count());
    LONGS_EQUAL(0, read_upstream(key, entry + R"(,"ColdLeftMs":-4})")
                       .value()
                       .cold_left.count());
}

TEST(platform_documents_group, an_error_names_its_field)
{
    const result<domain::route_declarations> missing =
        read_configuration(R"({"Version":1,"Routes":[{"Name":"r"}]})");
    STRCMP_EQUAL("Routes[0].Host", missing.failure().field.c_str());
    const result<domain::route_declarations> limit = read_configuration(
        R"({"Version":1,"Limits":{"IdleTimeoutMs":"soon"}})");
    CHECK_FALSE(limit.has_value());
    STRCMP_EQUAL("Limits.IdleTimeoutMs", limit.failure().field.c_str());
    CHECK_FALSE(read_configuration("{").has_value());
    CHECK_FALSE(read_configuration("[]").has_value());
}

// Guards against limits that end connections or the process at once.
TEST(platform_documents_group, limits_out_of_range_are_rejected_by_name)
{
    for (const char* name :
         {"MaxHeaderBytes", "MaxBodyBytes", "HeaderTimeoutMs", "IdleTimeoutMs"})
    {
        for (const char* value : {"0", "-1", "4294967296", "9007199254740991"})
        {
            const result<domain::route_declarations> read =
                read_configuration(R"({"Version":1,"Limits":{")" +
                                   std::string(name) + "\":" + value + "}}");
            CHECK_FALSE_TEXT(read.has_value(), name);
            STRCMP_EQUAL(("Limits." + std::string(name)).c_str(),
                         read.failure().field.c_str());
        }
    }
}

TEST(platform_documents_group, a_timeout_out_of_range_is_rejected_by_name)
{
    for (const char* value : {"0", "-1", "9007199254740991"})
    {
        const result<domain::route_declarations> read = read_configuration(
            R"({"Version":1,"Routes":[{"Name":"r","Host":"h","Prefix":"/a/",)"
            R"("Kind":"safe","Service":"m","TimeoutMs":)" +
            std::string(value) + "}]}");
        CHECK_FALSE_TEXT(read.has_value(), value);
        STRCMP_EQUAL("Routes[0].TimeoutMs", read.failure().field.c_str());
    }
}

TEST(platform_documents_group, malformed_upstream_entries_are_rejected)
{
    const std::string valid =
        R"({"Service":"m","Address":"10.0.0.1:80","Zone":"z","Version":"v1",)"
        R"("Slots":4,"State":"ready","SeqNo":1,"born":17})";
    const domain::upstream_entry read =
        read_upstream("servers/i-1", valid).value();
    STRCMP_EQUAL("i-1", read.id.c_str());
    LONGS_EQUAL(17, read.born);
    for (const char* malformed :
         {"", "bytes", "[]", "{}",
          R"({"Service":"m","Address":1,"Zone":"z","Version":"v1","Slots":4,)"
          R"("State":"ready"})",
          R"({"Service":"m","Address":"10.0.0.1:80","Zone":"z","Version":"v1",)"
          R"("Slots":4,"State":"odd"})",
          R"({"Service":"m","Address":"10.0.0.1:80","Zone":"z","Version":"v1",)"
          R"("Slots":0,"State":"ready"})",
          R"({"Service":"m","Address":"10.0.0.1:80","Zone":"z","Version":"v1",)"
          R"("Slots":1e300,"State":"ready"})",
          R"({"Service":"m","Address":"10.0.0.1:80","Zone":"z","Version":"v1",)"
          R"("Slots":4294967297,"State":"ready"})"})
    {
        CHECK_FALSE(read_upstream("servers/i-1", malformed).has_value());
    }
}
