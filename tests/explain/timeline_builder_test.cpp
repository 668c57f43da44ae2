#include "utilities/turmericctl/timeline_builder.hpp"

#include <CppUTest/TestHarness.h>
#include <sstream>

using namespace turmeric::ctl;

TEST_GROUP(timeline_builder_group)
{
    timeline_builder builder{"r1"};

    static std::string line(const std::string& time, const std::string& process,
                            int event, const std::string& extra_fields = "")
    {
        return R"({"time":"2026-12-04T08:00:)" + time + R"(Z","event":)" +
               std::to_string(event) + R"(,"name":"n","process":")" + process +
               '"' + extra_fields + "}\n";
    }

    void add(const std::string& text)
    {
        std::istringstream log(text);
        builder.add(log);
    }

    std::string event_order()
    {
        std::string events;
        for (const log_record& record : builder.timeline())
        {
            events += record.process + std::to_string(record.event) + ' ';
        }
        return events;
    }
};

TEST(timeline_builder_group,
     records_of_several_vms_are_merged_into_one_timeline)
{
    add(line("02.000", "b", 202, R"(,"request_id":"r1")") +
        line("02.100", "b", 201, R"(,"request_id":"r2")"));
    add(line("01.000", "a", 203, R"(,"request_id":"r1")") +
        line("03.000", "a", 201, R"(,"request_id":"r1")"));
    CHECK(event_order() == "a203 b202 a201 ");
}

TEST(timeline_builder_group,
     earlier_state_changes_of_the_process_precede_the_request)
{
    add(line("01.000", "a", 501) + line("01.500", "b", 501) +
        line("02.000", "a", 202, R"(,"request_id":"r1")") +
        line("04.000", "a", 502));
    CHECK(event_order() == "a501 a202 ");
}

TEST(timeline_builder_group, only_the_last_five_earlier_state_changes_are_shown)
{
    for (int second = 10; second < 30; ++second)
    {
        add(line(std::to_string(second) + ".000", "a", 601));
    }
    add(line("40.000", "a", 202, R"(,"request_id":"r1")"));
    CHECK(event_order() == "a601 a601 a601 a601 a601 a202 ");
}

TEST(timeline_builder_group,
     line_prefixes_are_skipped_and_unreadable_lines_counted)
{
    add("  9.5 vm-1 " + line("01.000", "a", 201, R"(,"request_id":"r1")") +
        "{\"time\":1}\nno log\n\n{broken\n");
    CHECK(event_order() == "a201 ");
    LONGS_EQUAL(3, builder.unreadable_lines());
}

TEST(timeline_builder_group, a_request_without_records_has_an_empty_timeline)
{
    add(line("01.000", "a", 501));
    CHECK(builder.timeline().empty());
}

TEST(timeline_builder_group, a_record_is_printed_with_its_fields)
{
    add(line("01.000", "a", 202, R"(,"request_id":"r1","code":3002)"));
    STRCMP_EQUAL("2026-12-04T08:00:01.000Z a 202 n code=3002 request_id=\"r1\"",
                 format_record(builder.timeline().front()).c_str());
}
