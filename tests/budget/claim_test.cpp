#include <rapidcheck.h>

#include "libraries/domain/claim/claim_attempt.hpp"

#include <optional>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace turmeric::domain;

TEST_GROUP(claim){};

namespace
{

/// Runs one call of an attempt against the key, with a fault: 0 none, 1 lost
/// reply, 2 lost request, 3 no effect, 4 kept back.
void step(claim_attempt& attempt, std::optional<claim_value>& key,
          std::vector<claim_value>& late, int fault)
{
    if (attempt.next() == claim_step::read)
    {
        fault == 3 ? attempt.on_read_failed() : attempt.on_read_result(key);
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
        late.push_back(attempt.value());
    }
    const bool is_tried = fault == 0 || fault == 1;
    const bool is_made = is_tried && !key.has_value();
    if (is_made)
    {
        key = attempt.value();
    }
    if (fault != 0)
    {
        attempt.on_create_result(claim_create_result::unknown);
        return;
    }
    attempt.on_create_result(is_made ? claim_create_result::created
                                     : claim_create_result::conflicted);
}

} // namespace

TEST(claim, lets_one_attempt_dispatch_at_most)
{
    CHECK(rc::check(
        "any number of attempts under any faults dispatch at most once",
        []
        {
            const std::vector<int> calls =
                *rc::gen::container<std::vector<int>>(60,
                                                      rc::gen::inRange(0, 100));
            std::optional<claim_value> key;
            std::vector<claim_value> late;
            std::vector<claim_attempt> attempts;
            for (int i = 0; i < 4; ++i)
            {
                // Two incarnations with two attempts each.
                attempts.emplace_back(
                    claim_value{"r" + std::to_string(i % 2), i / 2, {}}, 6);
            }
            for (const int each : calls)
            {
                step(attempts[static_cast<std::size_t>(each % 4)], key, late,
                     each / 4 % 5);
                const bool is_delivered = each >= 80 && !late.empty();
                if (is_delivered && !key.has_value())
                {
                    key = late.front();
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

TEST(claim, is_collected_only_after_its_time)
{
    using std::chrono::seconds;
    const claim_value value{"r", 1, sys_seconds(seconds(100))};
    CHECK_FALSE(is_collectable(value, sys_seconds(seconds(105)), seconds(5)));
    CHECK_TRUE(is_collectable(value, sys_seconds(seconds(106)), seconds(5)));
}
