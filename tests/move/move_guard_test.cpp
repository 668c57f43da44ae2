#include <rapidcheck.h>

#include "libraries/domain/move/move_guard.hpp"
#include "libraries/domain/move/version_picker.hpp"

#include <cmath>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace turmeric::domain;

namespace
{

using std::chrono::seconds;
using time_point = std::chrono::steady_clock::time_point;

constexpr std::int32_t cap = 10'000;

move_state ramping_state()
{
    move_state state;
    state.route = "narration";
    state.from_version = "a";
    state.to_version = "b";
    state.phase = move_phase::ramping;
    state.share = 250'000;
    state.capped_share = cap;
    state.fencing = 5;
    state.sequence = 3;
    state.deadline = state.since + seconds(1000);
    state.limits = latency_limits{std::chrono::milliseconds(370),
                                  std::chrono::milliseconds(40)};
    return state;
}

request_observation good_request()
{
    return {false, std::chrono::milliseconds(200),
            std::chrono::milliseconds(20)};
}

} // namespace

TEST_GROUP(move_guard){};

TEST(move_guard, share_never_rises_or_stays_high_without_a_controller)
{
    CHECK(rc::check(
        "share follows live controllers only",
        []
        {
            const guard_settings settings;
            time_point now{seconds(100)};
            move_state state = ramping_state();
            move_guard guard(settings, state, now);
            std::optional<time_point> last_contact;
            std::int64_t highest_fencing = state.fencing;
            std::int32_t before = guard.share(now);
            RC_ASSERT(before <= cap);
            for (int turn = 0; turn < 100; ++turn)
            {
                now += seconds(*rc::gen::inRange(0, 30));
                bool is_accepted = false;
                if (*rc::gen::arbitrary<bool>())
                {
                    state.sequence += *rc::gen::inRange(-1, 3);
                    state.fencing = *rc::gen::inRange<std::int64_t>(3, 8);
                    state.share = *rc::gen::inRange(0, 900'000);
                    guard.apply(state, now);
                    highest_fencing =
                        std::max(highest_fencing, guard.state().fencing);
                    RC_ASSERT(guard.state().fencing == highest_fencing);
                }
                else
                {
                    const auto fencing = *rc::gen::inRange<std::int64_t>(3, 8);
                    guard.record_controller_contact(fencing, now);
                    is_accepted = fencing >= guard.state().fencing;
                    last_contact = is_accepted ? now : last_contact;
                }
                const std::int32_t share = guard.share(now);
                RC_ASSERT(share <= std::max(guard.state().share, before));
                if (!last_contact || now - *last_contact > settings.stale_after)
                {
                    RC_ASSERT(share <= std::max(before, 0));
                }
                if (!last_contact ||
                    now - *last_contact > settings.capped_after)
                {
                    RC_ASSERT(share <= cap);
                }
                before = share;
            }
        }));
}

TEST(move_guard, cuts_a_failing_version_at_once_and_permanently)
{
    time_point now{seconds(100)};
    move_guard guard({}, ramping_state(), now);
    guard.record_controller_contact(5, now);
    for (int number = 0; number < 300; ++number)
    {
        CHECK_FALSE(guard.record(false, good_request(), now));
    }
    int failures = 0;
    while (guard.cut_reason().empty() && failures < 20)
    {
        guard.record(true, {true, std::nullopt, std::nullopt}, now);
        ++failures;
    }
    // The ratio must reach 3e6 for the level of 1e-6 and three properties, and
    // 6e6 over the whole move, which has half of the level. At a null rate
    // below 3%, five failures of five have a ratio above 0.03^-5 / 6 = 6.8e6.
    CHECK_COMPARE(failures, <=, 6);
    STRCMP_EQUAL("failure", guard.cut_reason().c_str());
    move_state state = ramping_state();
    state.sequence = 9;
    guard.apply(state, now);
    guard.record_controller_contact(5, now);
    LONGS_EQUAL(0, guard.share(now));
}

TEST(move_guard, cuts_a_slow_version_but_not_a_good_one)
{
    time_point now{seconds(100)};
    move_guard guard({}, ramping_state(), now);
    for (int number = 0; number < 2000; ++number)
    {
        now += std::chrono::milliseconds(100);
        guard.record(false, good_request(), now);
        CHECK_FALSE(guard.record(true, good_request(), now));
    }
    request_observation slow = good_request();
    slow.worst_gap = std::chrono::milliseconds(400);
    for (int number = 0; number < 30; ++number)
    {
        guard.record(true, slow, now);
    }
    STRCMP_EQUAL("slow_token_gap", guard.cut_reason().c_str());
}

TEST(move_guard, picker_keeps_a_request_on_its_version_while_the_share_rises)
{
    CHECK(rc::check(
        "a rising share never moves a request back",
        [](const std::string& id)
        {
            const auto low = *rc::gen::inRange(0, full_share);
            const auto high = *rc::gen::inRange(low, full_share + 1);
            const std::int32_t bucket = version_picker::bucket_of("r", id);
            const auto pick = [bucket](std::int32_t share)
            {
                return version_picker::pick(
                    {{"new", share}, {"old", full_share - share}}, bucket);
            };
            RC_ASSERT(pick(low) != "new" || pick(high) == "new");
            RC_ASSERT(pick(0) == "old");
            RC_ASSERT(pick(full_share) == "new");
        }));
}

TEST(move_guard, picker_gives_each_version_its_share)
{
    constexpr int requests = 100'000;
    int picked = 0;
    for (int number = 0; number < requests; ++number)
    {
        const std::int32_t bucket =
            version_picker::bucket_of("r", "request-" + std::to_string(number));
        picked += version_picker::pick({{"new", 50'000}, {"old", 950'000}},
                                       bucket) == "new"
                      ? 1
                      : 0;
    }
    // Four standard deviations of a binomial count.
    const double deviation = std::sqrt(requests * 0.05 * 0.95);
    CHECK_COMPARE(std::abs(picked - requests * 0.05), <=, 4 * deviation);
}
