#include "libraries/domain/membership/contact_record.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace std::chrono_literals;

namespace
{

ports::steady_time at(std::chrono::milliseconds time)
{
    return ports::steady_time(100s) + time;
}

} // namespace

TEST_GROUP(contact_record_group)
{
    domain::contact_record record;
};

TEST(contact_record_group, nothing_is_known_at_first)
{
    CHECK(record.present_since(at(5s)) == at(5s));
    CHECK_FALSE(record.latest().has_value());
}

TEST(contact_record_group, answers_without_a_long_pause_are_one_span)
{
    record.add(at(0s));
    record.add(at(1'700ms));
    record.add(at(3'400ms));
    CHECK(record.present_since(at(5'100ms)) == at(0s));
    CHECK(record.present_since(at(5'101ms)) == at(5'101ms));
}

TEST(contact_record_group, a_long_pause_begins_a_new_span)
{
    record.add(at(0s));
    record.add(at(1'701ms));
    CHECK(record.present_since(at(2s)) == at(1'701ms));
}

TEST(contact_record_group, another_observer_closes_a_pause)
{
    record.add(at(0s));
    record.add(at(5s));
    record.add({at(900ms), at(3'300ms)});
    CHECK(record.present_since(at(5s)) == at(900ms));
    record.add({at(-3s), at(500ms)});
    CHECK(record.present_since(at(5s)) == at(-3s));
}

TEST(contact_record_group, an_earlier_span_says_nothing_of_a_pause_after_it)
{
    record.add(at(5s));
    record.add({at(0s), at(3'299ms)});
    CHECK(record.present_since(at(5s)) == at(5s));
}
