#include "libraries/domain/prepaid/outage_pacer.hpp"

#include "libraries/domain/prepaid/prepaid_ledger.hpp"

#include <CppUTest/TestHarness.h>
#include <vector>

using namespace turmeric;
using namespace turmeric::domain;
using namespace std::chrono_literals;

namespace
{

constexpr std::int64_t request_tokens = 1'000;
constexpr int requests_per_second = 10;
constexpr int silence_seconds = 9;

/// Replays a cut of `silence_seconds` with tokens for the part of the
/// requests that `covered` says, and returns who was served by second.
std::vector<int> replay_silence(bool is_paced, double covered)
{
    prepaid_ledger ledger;
    outage_pacer pacer;
    const int asked = requests_per_second * silence_seconds;
    ledger.set_granted(
        "acme", static_cast<std::int64_t>(covered * asked * request_tokens));
    ports::steady_time now{100s};
    if (is_paced)
    {
        pacer.start(ledger.balances(), now, now);
    }
    std::vector<int> served(silence_seconds, 0);
    for (int number = 0; number < asked; ++number)
    {
        if (pacer.allows("acme", ledger.balance("acme"), now) &&
            ledger.hold("acme", request_tokens))
        {
            ledger.settle("acme", request_tokens, request_tokens);
            ++served[static_cast<std::size_t>(number / requests_per_second)];
        }
        now += 1'000ms / requests_per_second;
    }
    return served;
}

int sum(const std::vector<int>& served)
{
    int all = 0;
    for (int one : served)
    {
        all += one;
    }
    return all;
}

} // namespace

TEST_GROUP(outage_pacer_group)
{
    prepaid_ledger ledger;
    outage_pacer pacer;
    ports::steady_time now{100s};

    bool allows()
    {
        return pacer.allows("acme", ledger.balance("acme"), now);
    }

    void spend(std::int64_t tokens)
    {
        CHECK(ledger.hold("acme", tokens));
        ledger.settle("acme", tokens, tokens);
    }
};

TEST(outage_pacer_group, a_long_cut_serves_a_part_in_each_second)
{
    const std::vector<int> paced = replay_silence(true, 0.6);
    const std::vector<int> greedy = replay_silence(false, 0.6);
    LONGS_EQUAL(0, greedy.back());
    for (int served : paced)
    {
        CHECK(served >= 5);
    }
    LONGS_EQUAL(sum(greedy), sum(paced));
}

TEST(outage_pacer_group, what_covers_the_cut_is_not_held_back)
{
    LONGS_EQUAL(silence_seconds * requests_per_second,
                sum(replay_silence(true, 1.2)));
}

TEST(outage_pacer_group, a_large_request_is_made_up_for_by_those_after_it)
{
    ledger.set_granted("acme", 9'000);
    pacer.start(ledger.balances(), now, now);
    CHECK(allows());
    spend(4'000);
    now += 2s;
    CHECK_FALSE(allows());
    now += 2s;
    CHECK(allows());
}

TEST(outage_pacer_group, what_a_peer_lends_is_spread_too)
{
    ledger.set_granted("acme", 1'000);
    pacer.start(ledger.balances(), now, now);
    spend(1'000);
    now += 4s;
    CHECK_FALSE(allows());
    ledger.set_granted("acme", 9'000);
    CHECK(allows());
}

TEST(outage_pacer_group, nothing_is_held_back_once_the_store_answers)
{
    ledger.set_granted("acme", 9'000);
    pacer.start(ledger.balances(), now, now);
    spend(8'000);
    CHECK_FALSE(allows());
    pacer.stop();
    CHECK(allows());
}

TEST(outage_pacer_group, a_silence_beyond_what_was_provided_for_spends_the_rest)
{
    ledger.set_granted("acme", 9'000);
    pacer.start(ledger.balances(), now - 3s, now);
    spend(8'500);
    now += 6s;
    CHECK(allows());
}
