#include "libraries/adapters/settings/settings_file.hpp"
#include "services/router/router_settings.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using turmeric::json;
using turmeric::result;
using turmeric::result_code;
using turmeric::adapters::check_settings;

namespace
{

json valid_settings()
{
    return json::parse(R"({
        "name": "r1", "vm": "vm1", "data_centre": "dc1",
        "platform": {
            "key_value": ["127.0.0.1:2379"], "vm_list": "127.0.0.1:2380"
        },
        "listen": {"host": "127.0.0.1", "caller_port": 0, "peer_port": 0}
    })");
}

void check_validation_error(const json& settings, const char* path,
                            const std::string& value)
{
    result<json> checked = check_settings(
        settings, turmeric::router::router_settings_schema(), "r1.json");
    CHECK_FALSE(checked.has_value());
    CHECK(checked.failure().code == result_code::settings_invalid);
    STRCMP_EQUAL(path, checked.failure().field.c_str());
    STRCMP_CONTAINS("r1.json", checked.failure().detail.c_str());
    STRCMP_CONTAINS(("value " + value).c_str(),
                    checked.failure().detail.c_str());
}

} // namespace

TEST_GROUP(settings){};

TEST(settings, accepts_valid_settings)
{
    CHECK_TRUE(check_settings(valid_settings(),
                              turmeric::router::router_settings_schema(),
                              "r1.json")
                   .has_value());
}

TEST(settings, reports_the_path_and_value_of_an_error)
{
    json settings = valid_settings();
    settings["listen"]["caller_port"] = 70000;
    check_validation_error(settings, "$.listen.caller_port", "70000");
    settings = valid_settings();
    settings["platform"]["key_value"][0] = "nowhere";
    check_validation_error(settings, "$.platform.key_value[0]", "\"nowhere\"");
    settings = valid_settings();
    settings["log"]["level"] = "loud";
    check_validation_error(settings, "$.log.level", "\"loud\"");
}

TEST(settings, rejects_unknown_keys)
{
    json settings = valid_settings();
    settings["limits"]["conections"] = 5;
    result<json> checked = check_settings(
        settings, turmeric::router::router_settings_schema(), "r1.json");
    CHECK(checked.failure().code == result_code::settings_invalid);
    STRCMP_CONTAINS("conections", checked.failure().detail.c_str());
}

TEST(settings, reads_the_values_that_the_file_sets)
{
    json settings = valid_settings();
    settings["limits"]["stop_ms"] = 1234;
    settings["budgets"]["shards"] = 8;
    turmeric::router::router_settings read =
        turmeric::router::read_router_settings(settings);
    LONGS_EQUAL(1234, read.stop_timeout.count());
    LONGS_EQUAL(8, read.budget_shards);
    STRCMP_EQUAL("127.0.0.1:2380", read.vm_list_address.c_str());
}

TEST(settings, reports_files_that_cannot_be_read)
{
    json schema = turmeric::router::router_settings_schema();
    CHECK(turmeric::adapters::read_settings("/nonexistent/r1.json", schema)
              .failure()
              .code == result_code::settings_unreadable);
}
