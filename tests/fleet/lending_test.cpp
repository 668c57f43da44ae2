#include "tests/fleet/two_routers.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::tests;
using namespace std::chrono_literals;

TEST_GROUP(lending_group)
{
    two_routers fleet;
    test_environment& shared = fleet.shared;
    router& one = fleet.one;
    router& two = fleet.two;

    /// Makes the router `two` lack tokens and adjust its grants, while each
    /// datagram to `address` is delivered `copies` times. Returns by how many
    /// tokens the free tokens of both routers together decrease.
    std::int64_t tokens_lost_by_lending(const std::string& address, int copies)
    {
        const std::int64_t free_before =
            one.traffic.free() + two.traffic.free();
        shared.network.copies[address] = copies;
        two.traffic.lacking = lent_tokens;
        two.control.adjust_token_grants();
        return free_before - one.traffic.free() - two.traffic.free();
    }

    static constexpr std::int64_t lent_tokens = 100;
};

TEST(lending_group, a_peer_lends_before_a_slow_store_grants)
{
    // The store is available but slow: the request that lacks tokens does
    // not wait for a call to the store.
    CHECK(one.traffic.free() > 0);
    const std::int64_t granted_before = two.traffic.granted;
    const std::int64_t released_before = one.traffic.released;
    two.traffic.lacking = one.traffic.free() / 4;
    two.control.adjust_token_grants();
    LONGS_EQUAL(granted_before + two.traffic.lacking, two.traffic.granted);
    LONGS_EQUAL(two.traffic.lacking, one.traffic.released - released_before);
}

TEST(lending_group, a_lost_loan_is_spent_by_no_router)
{
    LONGS_EQUAL(lent_tokens, tokens_lost_by_lending("two", 0));
}

TEST(lending_group, a_duplicated_loan_is_counted_once)
{
    LONGS_EQUAL(0, tokens_lost_by_lending("two", 2));
}

TEST(lending_group, a_duplicated_request_strands_tokens_but_creates_none)
{
    LONGS_EQUAL(lent_tokens, tokens_lost_by_lending("one", 2));
}

TEST(lending_group, a_lender_keeps_half_of_its_free_tokens)
{
    two.traffic.lacking = 100'000;
    const std::int64_t free_before = one.traffic.free();
    const std::int64_t released_before = one.traffic.released;
    two.control.adjust_token_grants();
    LONGS_EQUAL(free_before / 2, one.traffic.released - released_before);
}
