#include <rapidcheck.h>

#include "libraries/domain/claim/claim_attempt.hpp"

#include <optional>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace turmeric::domain;

TEST_GROUP(claim){};

namespace
{

/// Runs the next call of an attempt against the stored claim, with a fault:
/// 0 no fault, 1 reply lost, 2 request lost, 3 call fails without effect,
/// 4 request delayed and added to `delayed`.
void run_next_call(claim_attempt& attempt, std::optional<claim_value>& stored,
                   std::vector<claim_value>& delayed, int fault)
{
    if (attempt.next() == claim_step::read)
    {
        fault == 3 ? attempt.on_read_failed() : attempt.on_read_result(stored);
        return;
    }
    if (attempt.next() != claim_step::create)
    {
        return;
    }
    if (fault == 3)
    {
        attempt.on_create_result(claim_create_result::failed);
        return;
    }
    if (fault == 4)
    {
        delayed.push_back(attempt.value());
    }
    const bool is_request_received = fault == 0 || fault == 1;
    const bool is_created = is_request_received && !stored.has_value();
    if (is_created)
    {
        stored = attempt.value();
    }
    if (fault != 0)
    {
        attempt.on_create_result(claim_create_result::unknown);
        return;
    }
    attempt.on_create_result(is_created ? claim_create_result::created
                                        : claim_create_result::conflicted);
}

} // namespace

TEST(claim, grants_the_claim_to_at_most_one_attempt)
{
    CHECK(rc::check(
        "at most one of several attempts is granted the claim under any faults",
        []
        {
            const std::vector<int> calls =
                *rc::gen::container<std::vector<int>>(60,
                                                      rc::gen::inRange(0, 100));
            std::optional<claim_value> stored;
            std::vector<claim_value> delayed;
            std::vector<claim_attempt> attempts;
            for (int i = 0; i < 4; ++i)
            {
                // Two incarnations with two attempts each.
                attempts.emplace_back(
                    claim_value{"r" + std::to_string(i % 2), i / 2, {}}, 6);
            }
            for (const int call : calls)
            {
                run_next_call(attempts[static_cast<std::size_t>(call % 4)],
                              stored, delayed, call / 4 % 5);
                const bool is_delivered = call >= 80 && !delayed.empty();
                if (is_delivered && !stored.has_value())
                {
                    stored = delayed.front();
                }
            }
            int granted = 0;
            for (claim_attempt& attempt : attempts)
            {
                attempt.on_timeout();
                granted += attempt.next() == claim_step::granted ? 1 : 0;
            }
            RC_ASSERT(granted <= 1);
        }));
}

TEST(claim, is_collectable_only_after_its_retention_time)
{
    using std::chrono::seconds;
    const claim_value value{"r", 1, sys_seconds(seconds(100))};
    CHECK_FALSE(is_collectable(value, sys_seconds(seconds(105)), seconds(5)));
    CHECK_TRUE(is_collectable(value, sys_seconds(seconds(106)), seconds(5)));
}
