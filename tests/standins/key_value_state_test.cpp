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

constexpr std::size_t max_history_events = 100;

transaction make_put_if_revision(const std::string& key,
                                 const std::string& value,
                                 std::int64_t expected, std::int64_t lease = 0)
{
    transaction request;
    compare_operation compare;
    compare.key = key;
    compare.number = expected;
    request.compares.push_back(compare);
    request.success.push_back(put_operation{key, value, lease});
    return request;
}

std::size_t count_keys(key_value_state& state, const std::string& key)
{
    const transaction_reply reply = state.read({key, "", 0});
    return std::get<range_reply>(reply.replies.front()).entries.size();
}

} // namespace

TEST_GROUP(key_value_state)
{
    fakes::manual_clock m_clock;
    key_value_state m_state{m_clock, max_history_events};
};

TEST(key_value_state, compare_and_swap_matches_a_model)
{
    CHECK(rc::check(
        "a swap succeeds only for the current revision",
        [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& steps)
        {
            fakes::manual_clock clock;
            key_value_state state(clock, max_history_events);
            std::map<std::string, std::int64_t> model;
            for (const auto& [key_index, revision] : steps)
            {
                const std::string key = std::to_string(key_index % 3);
                const std::int64_t expected = revision % 8;
                const result<transaction_reply> outcome =
                    state.run(make_put_if_revision(key, "v", expected));
                RC_ASSERT(outcome.value().succeeded ==
                          (model[key] == expected));
                if (outcome.value().succeeded)
                {
                    model[key] = outcome.value().revision;
                }
            }
        }));
}

TEST(key_value_state, expired_lease_deletes_its_keys)
{
    const std::int64_t lease = m_state.grant_lease(0, std::chrono::seconds(5));
    CHECK_TRUE(m_state.run(make_put_if_revision("a", "1", 0, lease))
                   .value()
                   .succeeded);
    m_clock.advance(std::chrono::seconds(4));
    LONGS_EQUAL(5, m_state.renew_lease(lease).count());
    m_clock.advance(std::chrono::seconds(4));
    LONGS_EQUAL(1, count_keys(m_state, "a"));
    const std::int64_t last_revision = m_state.revision();
    m_clock.advance(std::chrono::seconds(1));
    LONGS_EQUAL(0, count_keys(m_state, "a"));
    LONGS_EQUAL(0, m_state.renew_lease(lease).count());
    const watch_reply changes = m_state.wait_for_events(
        {"a", "", 0}, last_revision + 1, std::chrono::milliseconds(0));
    LONGS_EQUAL(1, changes.events.size());
    CHECK_TRUE(changes.events.front().is_deleted);
}

TEST(key_value_state, put_with_an_expired_lease_has_no_effect)
{
    const std::int64_t lease = m_state.grant_lease(0, std::chrono::seconds(1));
    m_clock.advance(std::chrono::seconds(2));
    CHECK_FALSE(
        m_state.run(make_put_if_revision("a", "1", 0, lease)).has_value());
    LONGS_EQUAL(0, count_keys(m_state, "a"));
}

TEST(key_value_state, overwritten_key_is_detached_from_its_first_lease)
{
    const std::int64_t lease = m_state.grant_lease(0, std::chrono::seconds(5));
    const std::int64_t created_revision =
        m_state.run(make_put_if_revision("a", "1", 0, lease)).value().revision;
    CHECK_TRUE(m_state.run(make_put_if_revision("a", "2", created_revision))
                   .value()
                   .succeeded);
    CHECK_TRUE(m_state.revoke_lease(lease));
    LONGS_EQUAL(1, count_keys(m_state, "a"));
}

TEST(key_value_state, failed_comparison_runs_the_failure_branch)
{
    transaction request = make_put_if_revision("a", "1", 7);
    request.failure.push_back(range_operation{"a", "", 0});
    const result<transaction_reply> outcome = m_state.run(request);
    CHECK_FALSE(outcome.value().succeeded);
    LONGS_EQUAL(1, outcome.value().replies.size());
    LONGS_EQUAL(1, outcome.value().revision);
}

TEST(key_value_state, a_restored_store_gives_out_its_numbers_again)
{
    CHECK(bool(m_state.run(make_put_if_revision("a", "1", 0))));
    m_state.take_copy();
    const std::int64_t lease = m_state.grant_lease(0, std::chrono::seconds(5));
    const std::int64_t lost =
        m_state.run(make_put_if_revision("b", "1", 0)).value().revision;
    CHECK(bool(m_state.run(make_put_if_revision("c", "1", 0))));
    LONGS_EQUAL(1, m_state.era());
    m_state.restore_copy();
    LONGS_EQUAL(2, m_state.era());
    LONGS_EQUAL(0, count_keys(m_state, "b"));
    LONGS_EQUAL(0, m_state.renew_lease(lease).count());
    LONGS_EQUAL(lease, m_state.grant_lease(0, std::chrono::seconds(5)));
    const range_operation all{std::string(1, '\0'), std::string(1, '\0'), 0};
    CHECK(m_state.wait_for_events(all, lost + 2, std::chrono::milliseconds(0))
              .compact_revision != 0);
    LONGS_EQUAL(
        lost, m_state.run(make_put_if_revision("d", "1", 0)).value().revision);
}

TEST_GROUP(rate_limiter)
{
    fakes::manual_clock m_clock;
    rate_limiter m_limiter;

    int count_allowed(int calls, double rate)
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
    LONGS_EQUAL(10, count_allowed(50, 100));
    m_clock.advance(std::chrono::milliseconds(20));
    LONGS_EQUAL(2, count_allowed(50, 100));
    LONGS_EQUAL(0, count_allowed(50, 0));
}
