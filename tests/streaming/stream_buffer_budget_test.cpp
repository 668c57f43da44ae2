#include <rapidcheck.h>

#include "libraries/domain/streaming/stream_buffer_budget.hpp"

#include <algorithm>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::domain;
using namespace std::chrono_literals;

TEST_GROUP(stream_buffers)
{
    stream_buffer_limits limits{100, 300, 2000ms, 2, 10'000ms};
    stream_buffer_budget subject{limits};
    ports::steady_time now{1h};
};

TEST(stream_buffers, stay_within_both_limits)
{
    CHECK(rc::check(
        "bytes of each stream and in total stay within the limits",
        []
        {
            stream_buffer_limits limits{100, 300, 2000ms, 2, 10'000ms};
            stream_buffer_budget subject(limits);
            std::map<std::uint64_t, std::size_t> open;
            ports::steady_time now{1h};
            int steps = *rc::gen::inRange(0, 200);
            for (int step = 0; step < steps; ++step)
            {
                std::uint64_t id = *rc::gen::inRange<std::uint64_t>(0, 8);
                std::size_t bytes = *rc::gen::inRange<std::size_t>(0, 101);
                if (!open.contains(id))
                {
                    if (subject.open(id))
                    {
                        open[id] = 0;
                    }
                }
                else if (subject.reserve(id, bytes, now) ==
                         read_permission::granted)
                {
                    open[id] += bytes;
                }
                else if (*rc::gen::inRange(0, 3) == 0)
                {
                    subject.close(id);
                    open.erase(id);
                }
                else
                {
                    std::size_t taken = std::min(bytes, open[id]);
                    subject.release(id, taken);
                    open[id] -= taken;
                }
                std::size_t sum = 0;
                for (const auto& [each, held] : open)
                {
                    RC_ASSERT(held <= limits.request_bytes);
                    sum += held;
                }
                RC_ASSERT(sum <= limits.total_bytes);
                RC_ASSERT(subject.held() == sum);
            }
        }));
}

TEST(stream_buffers, pause_park_and_resume)
{
    CHECK_TRUE(subject.open(1).has_value());
    CHECK(subject.reserve(1, 80, now) == read_permission::granted);
    CHECK(subject.reserve(1, 30, now) == read_permission::paused);
    // A further request does not restart the time of the pause.
    CHECK(subject.reserve(1, 30, now + 1s) == read_permission::paused);
    CHECK(subject.streams_to_park(now + 1s).empty());
    LONGS_EQUAL(1, subject.streams_to_park(now + 2s).size());
    CHECK_TRUE(subject.park(1, now + 2s).has_value());
    LONGS_EQUAL(0, subject.held());
    CHECK(subject.reserve(1, 1, now + 2s) == read_permission::paused);
    CHECK(subject.streams_to_end(now + 11s).empty());
    LONGS_EQUAL(1, subject.streams_to_end(now + 12s).size());
    subject.unpark(1);
    CHECK(subject.reserve(1, 30, now + 3s) == read_permission::granted);
    CHECK(subject.streams_to_park(now + 1h).empty());
}

TEST(stream_buffers, a_reader_that_keeps_up_is_never_parked)
{
    CHECK_TRUE(subject.open(1).has_value());
    for (int second = 0; second < 20; ++second)
    {
        now += 1s;
        CHECK(subject.reserve(1, 100, now) == read_permission::granted);
        CHECK(subject.reserve(1, 100, now) == read_permission::paused);
        subject.release(1, 100);
        CHECK(subject.streams_to_park(now + 500ms).empty());
    }
}

TEST(stream_buffers, fail_with_slow_reader_limit_at_the_limits)
{
    for (std::uint64_t id = 1; id <= 3; ++id)
    {
        CHECK_TRUE(subject.open(id).has_value());
        CHECK(subject.reserve(id, 100, now) == read_permission::granted);
    }
    status refused = subject.open(4);
    CHECK(refused.failure().code == result_code::slow_reader_limit);
    CHECK(refused.failure().effect == outcome::not_run);
    CHECK_TRUE(subject.park(1, now).has_value());
    CHECK_TRUE(subject.park(2, now).has_value());
    CHECK(subject.park(3, now).failure().code ==
          result_code::slow_reader_limit);
    CHECK_TRUE(subject.open(4).has_value());
    subject.close(1);
    LONGS_EQUAL(1, subject.parked());
}
