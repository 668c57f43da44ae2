#include "libraries/fakes/manual_clock.hpp"
#include "standins/common/delayed_value.hpp"
#include "standins/engine/batch.hpp"
#include "standins/engine/prefix_cache.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::standins;

namespace
{

batch_options make_options(std::size_t capacity, std::size_t collapse_at = 0)
{
    batch_options options;
    options.capacity = capacity;
    options.collapse_at = collapse_at;
    options.prefill_per_token = std::chrono::microseconds(1'000);
    return options;
}

job make_job(std::int64_t tokens, std::int64_t priority = 0)
{
    job request_job;
    request_job.tokens = tokens;
    request_job.priority = priority;
    return request_job;
}

} // namespace

TEST_GROUP(batch)
{
    fakes::manual_clock m_clock;

    std::vector<job_id> step(batch & target)
    {
        return target.step(m_clock.steady_now()).produced;
    }
};

TEST(batch, each_request_gets_exactly_its_tokens)
{
    CHECK(rc::check(
        "each request produces its tokens within the batch capacity",
        [](const std::vector<std::uint8_t>& lengths)
        {
            const std::size_t capacity = *rc::gen::inRange<std::size_t>(1, 6);
            const ports::steady_time now{};
            batch target(make_options(capacity));
            std::map<job_id, std::int64_t> remaining_tokens;
            std::int64_t total = 0;
            for (const std::uint8_t length : lengths)
            {
                const job_id id = remaining_tokens.size() + 1;
                remaining_tokens[id] = length % 20 + 1;
                total += remaining_tokens[id];
                RC_ASSERT(
                    target.submit(id, make_job(remaining_tokens[id]), now));
            }
            for (std::int64_t steps = 0; steps < total; ++steps)
            {
                RC_ASSERT(target.running() <= capacity);
                for (const job_id id : target.step(now).produced)
                {
                    --remaining_tokens[id];
                }
            }
            RC_ASSERT(target.running() + target.waiting() == 0U);
            RC_ASSERT(std::all_of(
                remaining_tokens.begin(), remaining_tokens.end(),
                [](const auto& entry) { return entry.second == 0; }));
        }));
}

TEST(batch, queue_is_ordered_by_priority_then_age)
{
    batch target(make_options(1));
    const ports::steady_time now = m_clock.steady_now();
    CHECK_TRUE(target.submit(1, make_job(1, 5), now));
    CHECK_TRUE(target.submit(2, make_job(1, 5), now));
    CHECK_TRUE(target.submit(3, make_job(1, 1), now));
    CHECK_TRUE(target.submit(4, make_job(1, 5), now));
    std::vector<job_id> order;
    for (int steps = 0; steps < 4; ++steps)
    {
        order.push_back(step(target).front());
    }
    CHECK_TRUE((order == std::vector<job_id>{1, 3, 2, 4}));
}

TEST(batch, removal_frees_the_slot)
{
    batch target(make_options(1));
    const ports::steady_time now = m_clock.steady_now();
    CHECK_TRUE(target.submit(1, make_job(9), now));
    CHECK_TRUE(target.submit(2, make_job(9), now));
    CHECK_TRUE(target.submit(3, make_job(9), now));
    CHECK_TRUE(target.remove(2, now));
    CHECK_TRUE(target.remove(1, now));
    CHECK_FALSE(target.remove(1, now));
    CHECK_TRUE(step(target) == std::vector<job_id>{3});
}

TEST(batch, prefill_and_slow_factor_delay_tokens)
{
    batch target(make_options(2));
    job request_job = make_job(2);
    request_job.prefill_tokens = 5;
    CHECK_TRUE(target.submit(1, request_job, m_clock.steady_now()));
    job slow = make_job(2);
    slow.slow_factor = 3.0;
    CHECK_TRUE(target.submit(2, slow, m_clock.steady_now()));
    CHECK_TRUE(step(target).empty());
    m_clock.advance(std::chrono::milliseconds(5));
    CHECK_TRUE(step(target) == std::vector<job_id>{1});
    CHECK_TRUE((step(target) == std::vector<job_id>{1, 2}));
}

TEST(batch, stalled_request_keeps_its_slot)
{
    batch target(make_options(1));
    const ports::steady_time now = m_clock.steady_now();
    CHECK_TRUE(target.submit(1, make_job(9), now));
    CHECK_TRUE(target.submit(2, make_job(9), now));
    target.stall(1);
    CHECK_TRUE(step(target).empty());
    LONGS_EQUAL(1, target.running());
    LONGS_EQUAL(1, target.waiting());
}

TEST(batch, slows_down_then_crashes_and_recovers)
{
    batch target(make_options(8, 4));
    const ports::steady_time now = m_clock.steady_now();
    for (job_id id = 1; id <= 4; ++id)
    {
        CHECK_TRUE(target.submit(id, make_job(9), now));
    }
    const std::chrono::microseconds normal_step_time = target.step_time();
    CHECK_TRUE(target.submit(5, make_job(9), now));
    CHECK_TRUE(target.step_time() > normal_step_time * 2);
    CHECK_TRUE(target.submit(6, make_job(9), now));
    LONGS_EQUAL(6, target.step(now).aborted.size());
    CHECK_FALSE(target.submit(7, make_job(9), now));
    m_clock.advance(std::chrono::seconds(3));
    CHECK_TRUE(target.submit(8, make_job(9), m_clock.steady_now()));
}

TEST_GROUP(prefix_cache){};

TEST(prefix_cache, finds_leading_blocks_and_evicts_the_least_recently_used)
{
    prefix_cache cache(3);
    const std::string block(64, 'a');
    const std::string other(64, 'b');
    LONGS_EQUAL(0, cache.look_up(block + block));
    LONGS_EQUAL(32, cache.look_up(block + block + "tail"));
    LONGS_EQUAL(16, cache.look_up(block + other));
    // The fourth block evicted the second block of the first prompt, which was
    // the least recently used.
    LONGS_EQUAL(0, cache.look_up(other));
    LONGS_EQUAL(16, cache.look_up(block + block));
}

TEST_GROUP(delayed_value)
{
    fakes::manual_clock m_clock;
};

TEST(delayed_value, returns_the_value_from_before_the_delay)
{
    delayed_value<int> value(std::chrono::milliseconds(10), 1);
    value.record(2, m_clock.steady_now());
    m_clock.advance(std::chrono::milliseconds(4));
    value.record(3, m_clock.steady_now());
    LONGS_EQUAL(1, value.at(m_clock.steady_now()));
    m_clock.advance(std::chrono::milliseconds(6));
    LONGS_EQUAL(2, value.at(m_clock.steady_now()));
    m_clock.advance(std::chrono::milliseconds(4));
    LONGS_EQUAL(3, value.at(m_clock.steady_now()));
}
