#include "libraries/domain/crashing_parts/crashing_part_detector.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::domain;
using namespace std::chrono_literals;

// Guards against a request that crashes upstreams in bursts passing for an
// outage, and against a popular sound request passing for such a one.
TEST_GROUP(crashing_request_group)
{
    const std::vector<suspect_id> bad{{suspect_kind::request, 1}};
    const std::vector<suspect_id> other{{suspect_kind::request, 2}};
    crashing_part_detector detector;
    ports::steady_time now{100s};

    bool is_blocked(const std::vector<suspect_id>& ids) const
    {
        return detector.find_blocked(ids).has_value();
    }
};

TEST(crashing_request_group, three_upstreams_that_end_at_once_block_it)
{
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation)
    {
        CHECK_FALSE(is_blocked(bad));
        detector.record_end(bad, incarnation, now);
        now += 40ms;
    }
    CHECK(is_blocked(bad));
    CHECK_FALSE(is_blocked(other));
    LONGS_EQUAL(1, detector.blocked_count(suspect_kind::request));
}

TEST(crashing_request_group, ends_of_one_incarnation_count_once)
{
    for (int router = 0; router < 3; ++router)
    {
        detector.record_end(bad, 7, now);
        now += 1s;
    }
    CHECK_FALSE(is_blocked(bad));
}

TEST(crashing_request_group, an_upstream_that_ended_without_it_shows_an_outage)
{
    for (std::uint64_t incarnation = 1; incarnation <= 4; ++incarnation)
    {
        detector.record_end(bad, incarnation, now);
        now += 40ms;
    }
    detector.record_end(other, 5, now);
    CHECK_FALSE(is_blocked(bad));
    CHECK(detector.may_retry(bad));
}

TEST(crashing_request_group, bursts_with_other_ends_count_once_each)
{
    std::uint64_t incarnation = 0;
    for (int burst = 0; burst < 3; ++burst)
    {
        CHECK_FALSE(is_blocked(bad));
        detector.record_end(bad, ++incarnation, now);
        detector.record_end(bad, ++incarnation, now + 50ms);
        detector.record_end(other, ++incarnation, now + 90ms);
        now += 3s;
    }
    CHECK(is_blocked(bad));
}

TEST(crashing_request_group, a_response_to_a_repeat_clears_it)
{
    detector.record_end(bad, 1, now);
    detector.record_end(bad, 2, now + 20ms);
    detector.record_success(bad, now + 30ms, now + 30ms);
    detector.record_end(bad, 3, now + 50ms);
    CHECK_FALSE(is_blocked(bad));
}

TEST(crashing_request_group, a_repeat_is_not_retried_after_two_ends)
{
    detector.record_end(bad, 1, now);
    CHECK(detector.may_retry(bad));
    detector.record_end(bad, 2, now + 20ms);
    CHECK_FALSE(detector.may_retry(bad));
    CHECK(detector.may_retry(other));
}

TEST(crashing_request_group, ends_seen_by_different_routers_add_up)
{
    crashing_part_detector peer;
    peer.record_end(bad, 1, now);
    peer.record_end(bad, 2, now + 20ms);
    detector.record_end(bad, 3, now + 40ms);
    detector.merge(peer.report(now + 50ms), now + 50ms);
    CHECK(is_blocked(bad));
}

TEST(crashing_request_group, two_trials_are_made_at_most)
{
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation)
    {
        detector.record_end(bad, incarnation, now);
    }
    std::uint64_t incarnation = 3;
    int trials = 0;
    for (int second = 0; second < 600; ++second)
    {
        now += 1s;
        if (detector.judge(bad, now) == crash_verdict::trial)
        {
            ++trials;
            detector.record_end(bad, ++incarnation, now);
        }
    }
    LONGS_EQUAL(2, trials);
}

TEST(crashing_request_group, suspects_are_bounded)
{
    for (std::uint64_t number = 10; number < 5'000; ++number)
    {
        detector.record_end({{suspect_kind::request, number}}, number, now);
    }
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation)
    {
        detector.record_end(bad, incarnation, now + 5s);
    }
    CHECK(detector.report(now + 5s).size() <= 64);
    CHECK(is_blocked(bad));
}
