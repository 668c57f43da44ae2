#include <rapidcheck.h>

#include "libraries/adapters/fmt/log_line.hpp"
#include "libraries/core/json.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;

TEST_GROUP(log_line_group)
{
    ports::system_time at{std::chrono::milliseconds{1'500}};

    std::string line(adapters::log_format format, const std::string& text)
    {
        return adapters::format_log_line(format, at, log_level::info,
                                         log_event::request_refused, "vm-1",
                                         {{"reason", text},
                                          {"code", std::int64_t{3002}},
                                          {"is_kept", true}});
    }
};

TEST(log_line_group, a_json_line_begins_with_time_level_and_event)
{
    STRCMP_EQUAL(R"({"time":"1970-01-01T00:00:01.500Z","level":"info",)"
                 R"("event":202,"name":"request_refused","process":"vm-1",)"
                 R"("reason":"no tokens","code":3002,"is_kept":true})",
                 line(adapters::log_format::json, "no tokens").c_str());
}

TEST(log_line_group, a_text_line_quotes_values_with_spaces)
{
    STRCMP_EQUAL("time=1970-01-01T00:00:01.500Z level=info event=202 "
                 "name=request_refused process=vm-1 reason=\"no tokens\" "
                 "code=3002 is_kept=true",
                 line(adapters::log_format::text, "no tokens").c_str());
}

TEST(log_line_group, any_text_gives_one_valid_json_line)
{
    CHECK(rc::check("each byte may be in a value",
                    [this]
                    {
                        const std::string text =
                            *rc::gen::arbitrary<std::string>();
                        const std::string written =
                            line(adapters::log_format::json, text);
                        RC_ASSERT(written.find('\n') == std::string::npos);
                        const json read = json::parse(written);
                        RC_ASSERT(read["code"] == 3002);
                        RC_ASSERT(read["reason"].is_string());
                    }));
}
