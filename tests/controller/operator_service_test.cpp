#include "libraries/adapters/openssl/digests.hpp"
#include "libraries/codecs/common/json_reader.hpp"
#include "libraries/fakes/fake_key_value_store.hpp"
#include "libraries/fakes/manual_clock.hpp"
#include "services/controller/operator_service.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using fakes::store_fault;

namespace
{

constexpr const char* route = R"({"route": {"name": "chat",
    "versions": [{"version": "v1", "parts_per_million": 1000000}]}})";
constexpr const char* account = R"({"account": {"name": "club",
    "budgets": [{"name": "season"}]}})";

class null_logger final : public logger
{
public:
    void write(log_level, log_event, const std::vector<log_field>&) override {}
};

class empty_vm_list final : public ports::vm_list
{
public:
    result<std::vector<ports::vm_entry>> read() override
    {
        return std::vector<ports::vm_entry>();
    }
};

class constant_random_source final : public ports::random_source
{
public:
    std::uint64_t next() override
    {
        return 0;
    }
};

/// Only the router at "router:1" responds.
class single_router_peer_caller final : public ports::peer_caller
{
public:
    result<std::string> call(const std::string& address,
                             const ports::peer_message&,
                             std::chrono::milliseconds) override
    {
        if (address == "router:1")
        {
            return std::string(R"({"configuration_version": 7})");
        }
        return error{result_code::peer_unavailable, address, "no response"};
    }
};

struct fixture
{
    json call(const std::string& method, const std::string& body,
              const std::string& key = "secret")
    {
        adapters::http_request request;
        request.method = "POST";
        request.path = "/turmericfront.v1.Operator/" + method;
        request.headers = {{"authorization", "Bearer " + key},
                           {"content-type", content_type}};
        request.body = body;
        const adapters::http_response response = service.handle_call(request);
        status = response.status;
        last_body = response.body;
        constexpr bool allows_exceptions = false;
        return json::parse(response.body, nullptr, allows_exceptions);
    }

    void apply(const std::string& declaration)
    {
        (void)call("Apply", "{\"declarations\": [" + declaration + "]}");
        LONGS_EQUAL(200, status);
    }

    int status = 0;
    std::string last_body;
    std::string content_type = "application/json";
    fakes::manual_clock clock;
    fakes::fake_key_value_store store{clock};
    null_logger log;
    empty_vm_list vms;
    constant_random_source random;
    single_router_peer_caller peers;
    controller::fleet_monitor fleet{store, vms, clock, {}};
    drivers::configuration_follower follower{store, log, {}, {}};
    drivers::configuration_writer writer{store, "writer", [] {}};
    drivers::shard_editor editor{store, clock, random};
    controller::configuration_request_handler configuration{
        writer,
        [] {
            return controller::generated_key{"tf_1", std::string(64, 'a')};
        },
        [] {}};
    controller::budget_request_handler budgets{editor, writer, clock, {}};
    controller::status_request_handler statuses{
        {store, writer, follower, fleet, peers,
         [] { return std::vector<std::string>{"budgets"}; }}};
    controller::operator_service service{
        {configuration, budgets, statuses},
        {adapters::sha256_hex("other"), adapters::sha256_hex("secret")},
        log};
};

} // namespace

TEST_GROUP(operator_service){};

TEST(operator_service, refuses_invalid_requests_with_result_codes)
{
    fixture f;
    LONGS_EQUAL(6009, f.call("Apply", "{}", "wrong").at("code"));
    LONGS_EQUAL(401, f.status);
    LONGS_EQUAL(6003, f.call("Destroy", "{}").at("code"));
    LONGS_EQUAL(1001, f.call("Apply", "{\"declarations\": 3}").at("code"));
    LONGS_EQUAL(1001, f.call("Apply", "{\"unknown\": 3}").at("code"));
    LONGS_EQUAL(1001, f.call("Apply", "{").at("code"));
    f.content_type = "text/plain";
    LONGS_EQUAL(1001, f.call("Apply", "{}").at("code"));
    f.content_type = "application/proto";
    LONGS_EQUAL(1001, f.call("Apply", "\xff\xff").at("code"));
}

TEST(operator_service, applies_and_exports_and_names_the_invalid_field)
{
    fixture f;
    f.apply(std::string(route) + ',' + account);
    const json exported = f.call("Export", "");
    STRCMP_EQUAL("1", exported.at("version").get<std::string>().c_str());
    const json difference =
        f.call("Diff", json{{"declarations", exported.at("declarations")},
                            {"is_complete", true}}
                           .dump());
    CHECK(difference.at("changes").empty());
    const json refused = f.call("Apply", R"({"declarations":
        [{"route": {"name": "chat", "versions": [{"version": "v1"}]}}]})");
    LONGS_EQUAL(6002, refused.at("code"));
    STRCMP_EQUAL("declarations[0].versions[0].parts_per_million",
                 refused.at("field").get<std::string>().c_str());
    STRCMP_EQUAL("not_run", refused.at("outcome").get<std::string>().c_str());
}

TEST(operator_service, a_conflict_contains_both_versions)
{
    fixture f;
    f.apply(account);
    f.apply(R"({"account": {"name": "club", "weight": 2}})");
    const json refused = f.call("Apply", R"({"base_version": "1",
        "declarations": [{"account": {"name": "club", "weight": 3}}]})");
    LONGS_EQUAL(409, f.status);
    LONGS_EQUAL(6001, refused.at("code"));
    const json& conflict = refused.at("conflicts").at(0);
    LONGS_EQUAL(2, conflict.at("in_force").at("weight"));
    LONGS_EQUAL(3, conflict.at("wanted").at("weight"));
}

TEST(operator_service, a_top_up_is_applied_once_when_its_reply_is_lost)
{
    fixture f;
    f.apply(account);
    const std::string request = R"({"account": "club", "budget": "season",
                                    "id": "one", "tokens": 500})";
    f.store.script(
        {store_fault::none, store_fault::none, store_fault::lost_reply});
    const json reply = f.call("TopUp", request);
    LONGS_EQUAL(200, f.status);
    STRCMP_EQUAL(
        "500", reply.at("balance").at("topped_up").get<std::string>().c_str());
    CHECK_FALSE(f.call("TopUp", request).at("is_new").get<bool>());
    const json balance =
        f.call("GetBudget", R"({"account": "club", "budget": "season"})");
    STRCMP_EQUAL("500", balance.at("available").get<std::string>().c_str());
    LONGS_EQUAL(6007, f.call("TopUp", R"({"account": "club",
        "budget": "season", "id": "one", "tokens": 501})")
                          .at("code"));
    LONGS_EQUAL(3009, f.call("TopUp", R"({"account": "club",
        "budget": "season", "id": "two", "tokens": -1})")
                          .at("code"));
    LONGS_EQUAL(6004, f.call("TopUp", R"({"account": "club",
        "budget": "none", "id": "two", "tokens": 1})")
                          .at("code"));
    LONGS_EQUAL(1, f.call("ListBudgets", "").at("budgets").size());
}

TEST(operator_service, a_key_is_stored_as_digest_and_kept_by_a_later_apply)
{
    fixture f;
    f.apply(account);
    const json created = f.call("CreateKey", R"({"account": "club"})");
    STRCMP_EQUAL("tf_1", created.at("key").get<std::string>().c_str());
    f.apply(account);
    (void)f.call("Export", "");
    CHECK(f.last_body.find(std::string(64, 'a')) != std::string::npos);
    CHECK(f.last_body.find("tf_1") == std::string::npos);
    LONGS_EQUAL(6004, f.call("CreateKey", R"({"account": "x"})").at("code"));
}

TEST(operator_service, an_apply_without_states_keeps_a_drain)
{
    fixture f;
    const std::string upstream = R"({"upstream": {"name": "e1", "address":
        "127.0.0.1:1", "data_centre": "north", "versions": ["v1"],
        "capacity": 4}})";
    f.apply(upstream);
    (void)f.call("Drain", R"({"upstream": "e1"})");
    (void)f.call("Drain", R"({"vm": "entry-1"})");
    const json reapplied = f.call("Apply", "{\"is_complete\": true, "
                                           "\"declarations\": [" +
                                               upstream + "]}");
    CHECK(reapplied.at("changes").empty());
    const json restored = f.call("Drain", R"({"upstream": "e1",
                                          "is_undone": true})");
    LONGS_EQUAL(1, restored.at("changes").size());
    LONGS_EQUAL(6004, f.call("Drain", R"({"upstream": "e2"})").at("code"));
    LONGS_EQUAL(1007, f.call("Drain", "{}").at("code"));
}

TEST(operator_service, status_shows_the_version_of_each_router)
{
    fixture f;
    f.apply(account);
    const std::string other_fields = R"(, "address": "a:1", "vm": "v",
        "data_centre": "north", "started_ms": 1})";
    (void)f.store.compare_and_swap(
        "/turmericfront/members/r1",
        R"({"incarnation": "r1", "peer_address": "router:1")" + other_fields, 0,
        0);
    (void)f.store.compare_and_swap(
        "/turmericfront/members/r2",
        R"({"incarnation": "r2", "peer_address": "router:2")" + other_fields, 0,
        0);
    const json status = f.call("GetStatus", "");
    const json& routers = status.at("routers");
    LONGS_EQUAL(2, routers.size());
    STRCMP_EQUAL(
        "7",
        routers.at(0).at("configuration_version").get<std::string>().c_str());
    STRCMP_EQUAL("silent",
                 routers.at(1).at("state").get<std::string>().c_str());
    STRCMP_EQUAL("budgets",
                 status.at("duties").at(0).get<std::string>().c_str());
}

TEST(operator_service, an_outage_is_refused_with_its_result_code)
{
    fixture f;
    f.store.set_outage(true);
    const json refused = f.call("Apply", "{}");
    LONGS_EQUAL(5001, refused.at("code"));
    STRCMP_EQUAL("not_run", refused.at("outcome").get<std::string>().c_str());
}
