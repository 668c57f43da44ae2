#include "platform/connection_options.hpp"
#include "platform/platform_dialect.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;

TEST_GROUP(connection_options_group){};

TEST(connection_options_group, all_listed_names_are_found)
{
    const ports::header_fields fields = {
        {"connection", "close,\tX-One , ,x-TWO"},
        {"X-Other", "X-Three"},
        {"Connection", "keep-alive"}};
    const platform::connection_options options(fields);
    for (const char* listed : {"Close", "x-one", "X-Two", "Keep-Alive"})
    {
        CHECK_TEXT(options.lists(listed), listed);
    }
    for (const char* other : {"X-Three", "X", "X-One1", "Connection"})
    {
        CHECK_FALSE_TEXT(options.lists(other), other);
    }
    CHECK_FALSE(platform::connection_options({}).lists("close"));
}

// Guards against heads that hold the event loop up: with work that grows with
// the square of the fields, this does not end within the time of a test.
TEST(connection_options_group, many_fields_with_a_long_list_are_passed_on)
{
    constexpr std::size_t list_bytes = 30 << 10;
    constexpr int field_count = 6'000;
    constexpr int head_count = 200;
    std::string names;
    while (names.size() < list_bytes)
    {
        names += "a,";
    }
    ports::response_head head{200, "OK", {{"Connection", names}}};
    head.fields.resize(field_count, {"b", ""});
    const platform::platform_dialect dialect;
    for (int number = 0; number < head_count; ++number)
    {
        LONGS_EQUAL(field_count - 1,
                    dialect.make_caller_head(head).fields.size());
    }
}
