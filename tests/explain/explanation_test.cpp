#include "utilities/turmericctl/explanation.hpp"

#include <CppUTest/TestHarness.h>
#include <sstream>

using namespace turmeric::ctl;

TEST_GROUP(explanation_group)
{
    explanation joined{"r1"};

    static std::string line(const std::string& time, const std::string& process,
                            int event, const std::string& more = "")
    {
        return R"({"time":"2026-12-04T08:00:)" + time + R"(Z","event":)" +
               std::to_string(event) + R"(,"name":"n","process":")" + process +
               '"' + more + "}\n";
    }

    void add(const std::string& text)
    {
        std::istringstream log(text);
        joined.add(log);
    }

    std::string order()
    {
        std::string events;
        for (const log_record& record : joined.timeline())
        {
            events += record.process + std::to_string(record.event) + ' ';
        }
        return events;
    }
};

TEST(explanation_group, lines_of_several_vms_become_one_timeline)
{
    add(line("02.000", "b", 202, R"(,"request_id":"r1")") +
        line("02.100", "b", 201, R"(,"request_id":"r2")"));
    add(line("01.000", "a", 203, R"(,"request_id":"r1")") +
        line("03.000", "a", 201, R"(,"request_id":"r1")"));
    CHECK(order() == "a203 b202 a201 ");
}

TEST(explanation_group, what_changed_a_process_belief_stands_before_the_request)
{
    add(line("01.000", "a", 501) + line("01.500", "b", 501) +
        line("02.000", "a", 202, R"(,"request_id":"r1")") +
        line("04.000", "a", 502));
    CHECK(order() == "a501 a202 ");
}

TEST(explanation_group, only_the_last_few_changes_before_it_are_shown)
{
    for (int second = 10; second < 30; ++second)
    {
        add(line(std::to_string(second) + ".000", "a", 601));
    }
    add(line("40.000", "a", 202, R"(,"request_id":"r1")"));
    CHECK(order() == "a601 a601 a601 a601 a601 a202 ");
}

TEST(explanation_group, a_prefix_is_passed_over_and_what_is_no_line_is_counted)
{
    add("  9.5 vm-1 " + line("01.000", "a", 201, R"(,"request_id":"r1")") +
        "{\"time\":1}\nno log\n\n{broken\n");
    CHECK(order() == "a201 ");
    LONGS_EQUAL(3, joined.unreadable());
}

TEST(explanation_group, a_request_without_lines_has_no_timeline)
{
    add(line("01.000", "a", 501));
    CHECK(joined.timeline().empty());
}

TEST(explanation_group, a_record_is_printed_with_its_fields)
{
    add(line("01.000", "a", 202, R"(,"request_id":"r1","code":3002)"));
    STRCMP_EQUAL("2026-12-04T08:00:01.000Z a 202 n code=3002 request_id=\"r1\"",
                 format_record(joined.timeline().front()).c_str());
}
