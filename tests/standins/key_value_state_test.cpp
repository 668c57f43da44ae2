#include "libraries/fakes/manual_clock.hpp"
#include "standins/key_value/key_value_state.hpp"
#include "standins/key_value/rate_limiter.hpp"

#include <rapidcheck.h>

#include <map>

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::standins;

namespace
{

constexpr std::size_t history_limit = 100;

transaction put_if(const std::string& key, const std::string& value,
                   std::int64_t expected, std::int64_t lease = 0)
{
    transaction wanted;
    compare_operation compare;
    compare.key = key;
    compare.number = expected;
    wanted.compares.push_back(compare);
    wanted.success.push_back(put_operation{key, value, lease});
    return wanted;
}

std::size_t count_of(key_value_state& state, const std::string& key)
{
    const transaction_reply reply = state.read({key, "", 0});
    return std::get<range_reply>(reply.replies.front()).entries.size();
}

} // namespace

TEST_GROUP(key_value_state)
{
    fakes::manual_clock m_clock;
    key_value_state m_state{m_clock, history_limit};
};

TEST(key_value_state, swaps_follow_a_model)
{
    CHECK(rc::check(
        "a swap succeeds only for the newest number",
        [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& steps)
        {
            fakes::manual_clock clock;
            key_value_state state(clock, history_limit);
            std::map<std::string, std::int64_t> model;
            for (const auto& [which, guess] : steps)
            {
                const std::string key = std::to_string(which % 3);
                const std::int64_t expected = guess % 8;
                const result<transaction_reply> done =
                    state.run(put_if(key, "v", expected));
                RC_ASSERT(done.value().succeeded == (model[key] == expected));
                if (done.value().succeeded)
                {
                    model[key] = done.value().revision;
                }
            }
        }));
}

TEST(key_value_state, lease_lapses_with_its_keys)
{
    const std::int64_t lease = m_state.grant(0, std::chrono::seconds(5));
    CHECK_TRUE(m_state.run(put_if("a", "1", 0, lease)).value().succeeded);
    m_clock.advance(std::chrono::seconds(4));
    LONGS_EQUAL(5, m_state.keep_alive(lease).count());
    m_clock.advance(std::chrono::seconds(4));
    LONGS_EQUAL(1, count_of(m_state, "a"));
    const std::int64_t before = m_state.revision();
    m_clock.advance(std::chrono::seconds(1));
    LONGS_EQUAL(0, count_of(m_state, "a"));
    LONGS_EQUAL(0, m_state.keep_alive(lease).count());
    const watch_reply seen = m_state.wait_for_events(
        {"a", "", 0}, before + 1, std::chrono::milliseconds(0));
    LONGS_EQUAL(1, seen.events.size());
    CHECK_TRUE(seen.events.front().is_deleted);
}

TEST(key_value_state, put_under_a_lapsed_lease_has_no_effect)
{
    const std::int64_t lease = m_state.grant(0, std::chrono::seconds(1));
    m_clock.advance(std::chrono::seconds(2));
    CHECK_FALSE(m_state.run(put_if("a", "1", 0, lease)).has_value());
    LONGS_EQUAL(0, count_of(m_state, "a"));
}

TEST(key_value_state, key_put_again_leaves_its_first_lease)
{
    const std::int64_t lease = m_state.grant(0, std::chrono::seconds(5));
    const std::int64_t made =
        m_state.run(put_if("a", "1", 0, lease)).value().revision;
    CHECK_TRUE(m_state.run(put_if("a", "2", made)).value().succeeded);
    CHECK_TRUE(m_state.revoke(lease));
    LONGS_EQUAL(1, count_of(m_state, "a"));
}

TEST(key_value_state, failed_comparison_runs_the_other_branch)
{
    transaction wanted = put_if("a", "1", 7);
    wanted.failure.push_back(range_operation{"a", "", 0});
    const result<transaction_reply> done = m_state.run(wanted);
    CHECK_FALSE(done.value().succeeded);
    LONGS_EQUAL(1, done.value().replies.size());
    LONGS_EQUAL(1, done.value().revision);
}

TEST_GROUP(rate_limiter)
{
    fakes::manual_clock m_clock;
    rate_limiter m_limiter;

    int allowed_of(int calls, double rate)
    {
        int allowed = 0;
        for (int call = 0; call < calls; ++call)
        {
            allowed += m_limiter.allows(rate, m_clock.steady_now()) ? 1 : 0;
        }
        return allowed;
    }
};

TEST(rate_limiter, allows_the_rate_and_a_small_burst)
{
    LONGS_EQUAL(10, allowed_of(50, 100));
    m_clock.advance(std::chrono::milliseconds(20));
    LONGS_EQUAL(2, allowed_of(50, 100));
    LONGS_EQUAL(0, allowed_of(50, 0));
}
