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
constexpr int outage_seconds = 9;

/// Simulates an outage of `outage_seconds` with tokens for the fraction
/// `covered` of the requests. Returns the number of requests that were served
/// in each second.
std::vector<int> simulate_outage(bool is_paced, double covered)
{
    prepaid_ledger ledger;
    outage_pacer pacer;
    const int requests = requests_per_second * outage_seconds;
    ledger.set_granted(
        "acme", static_cast<std::int64_t>(covered * requests * request_tokens));
    ports::steady_time now{100s};
    if (is_paced)
    {
        pacer.start(ledger.balances(), now, now);
    }
    std::vector<int> served(outage_seconds, 0);
    for (int number = 0; number < requests; ++number)
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
    int total = 0;
    for (int one : served)
    {
        total += one;
    }
    return total;
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

TEST(outage_pacer_group, serves_some_requests_in_each_second_of_a_long_outage)
{
    const std::vector<int> paced = simulate_outage(true, 0.6);
    const std::vector<int> unpaced = simulate_outage(false, 0.6);
    LONGS_EQUAL(0, unpaced.back());
    for (int served : paced)
    {
        CHECK(served >= 5);
    }
    LONGS_EQUAL(sum(unpaced), sum(paced));
}

TEST(outage_pacer_group, refuses_nothing_if_the_tokens_last_for_the_outage)
{
    LONGS_EQUAL(outage_seconds * requests_per_second,
                sum(simulate_outage(true, 1.2)));
}

TEST(outage_pacer_group, refuses_requests_for_a_time_after_a_large_one)
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

TEST(outage_pacer_group, paces_tokens_lent_by_a_peer_too)
{
    ledger.set_granted("acme", 1'000);
    pacer.start(ledger.balances(), now, now);
    spend(1'000);
    now += 4s;
    CHECK_FALSE(allows());
    ledger.set_granted("acme", 9'000);
    CHECK(allows());
}

TEST(outage_pacer_group, refuses_nothing_once_the_store_responds)
{
    ledger.set_granted("acme", 9'000);
    pacer.start(ledger.balances(), now, now);
    spend(8'000);
    CHECK_FALSE(allows());
    pacer.stop();
    CHECK(allows());
}

TEST(outage_pacer_group, spends_all_tokens_in_an_outage_longer_than_planned)
{
    ledger.set_granted("acme", 9'000);
    pacer.start(ledger.balances(), now - 3s, now);
    spend(8'500);
    now += 6s;
    CHECK(allows());
}
