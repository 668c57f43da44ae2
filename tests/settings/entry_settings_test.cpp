#include "libraries/adapters/settings/settings_file.hpp"
#include "services/entry/entry_settings.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;

namespace
{

constexpr std::int64_t bytes_per_mb = 1'000'000;

json settings_with_memory(const json& memory_mb)
{
    json settings = json::parse(R"({
        "vm": "vm1", "data_centre": "dc1", "store": "127.0.0.1:1",
        "listen": {
            "callers": "127.0.0.1:2", "readiness": "127.0.0.1:3",
            "directory": "127.0.0.1:4", "peers": "127.0.0.1:5"
        }
    })");
    settings["memory_mb"] = memory_mb;
    return settings;
}

result<json> check(const json& memory_mb)
{
    return adapters::check_settings(settings_with_memory(memory_mb),
                                    entry::entry_settings_schema(), "e.json");
}

} // namespace

TEST_GROUP(entry_settings_group){};

TEST(entry_settings_group, a_wrong_memory_limit_is_named)
{
    for (const json& wrong :
         {json(0), json(-1), json(31), json("110"), json(1.5), json(1 << 30)})
    {
        const result<json> checked = check(wrong);
        CHECK_FALSE(checked.has_value());
        CHECK(checked.failure().code == result_code::settings_invalid);
        STRCMP_EQUAL("$.memory_mb", checked.failure().field.c_str());
    }
    CHECK(check(110).has_value());
}

TEST(entry_settings_group, the_traffic_leaves_room_for_the_process)
{
    for (const std::int64_t megabytes : {32, 64, 110, 260, 1'024, 8'192})
    {
        const entry::entry_settings read =
            entry::read_entry_settings(settings_with_memory(megabytes));
        LONGS_EQUAL(megabytes * bytes_per_mb, read.memory_bytes);
        CHECK(read.traffic_memory_bytes >= read.memory_bytes / 8);
        CHECK(read.traffic_memory_bytes <= read.memory_bytes / 4 * 3);
        CHECK(read.max_connections >= 100);
    }
}
