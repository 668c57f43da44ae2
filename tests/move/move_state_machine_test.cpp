#include <rapidcheck.h>

#include "libraries/domain/move/move_state_machine.hpp"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace turmeric::domain;

namespace
{

using std::chrono::seconds;
using time_point = std::chrono::system_clock::time_point;

constexpr time_point start{std::chrono::hours(1)};

move_declaration declared_move()
{
    move_declaration declared;
    declared.route = "narration";
    declared.from_version = "a";
    declared.to_version = "b";
    declared.start = start;
    declared.deadline = start + seconds(1000);
    declared.soak = seconds(100);
    return declared;
}

/// A controller that may pause between its read and its write.
struct controller
{
    std::int64_t fencing = 0;
    move_state read;
    std::optional<move_state> next_state;
};

move_input input_at(time_point now, std::int64_t fencing)
{
    move_input input;
    input.now = now;
    input.fencing = fencing;
    input.has_fresh_evidence = true;
    input.are_upstreams_ready = true;
    return input;
}

/// Steps a healthy move each second until `until`.
move_state run_until(const move_state_machine& machine, move_state state,
                     time_point from, time_point until)
{
    for (time_point now = from; now <= until; now += seconds(1))
    {
        state = machine.next(state, declared_move(), input_at(now, 1))
                    .value_or(state);
    }
    return state;
}

std::int32_t highest_declared(const move_state& state,
                              const move_declaration& declared)
{
    return state.phase == move_phase::finished
               ? full_share
               : declared.steps[static_cast<std::size_t>(state.step)];
}

} // namespace

TEST_GROUP(move_state_machine){};

TEST(move_state_machine, keeps_its_invariants_under_crashes_and_two_controllers)
{
    CHECK(rc::check(
        "any schedule of two controllers",
        []
        {
            const move_declaration declared = declared_move();
            const move_state_machine machine{move_settings{}};
            move_state stored = initial_state(declared);
            controller controllers[2];
            std::int64_t issued = 0;
            time_point now = start - seconds(10);
            for (int turn = 0; turn < 120; ++turn)
            {
                controller& acting = controllers[*rc::gen::inRange(0, 2)];
                now += seconds(*rc::gen::inRange(0, 20));
                switch (*rc::gen::inRange(0, 8))
                {
                case 0: // It becomes the leader, after a crash or a lost lease.
                    acting = {};
                    acting.fencing = ++issued;
                    acting.read = stored;
                    break;
                case 1: // It writes its decision if the stored state is
                        // unchanged.
                    if (acting.next_state && acting.read == stored)
                    {
                        RC_ASSERT(acting.next_state->sequence ==
                                  stored.sequence + 1);
                        RC_ASSERT(acting.next_state->fencing >= stored.fencing);
                        RC_ASSERT(!is_final(stored.phase));
                        RC_ASSERT(stored.phase != move_phase::rolling_back ||
                                  acting.next_state->share == 0);
                        stored = *acting.next_state;
                    }
                    acting.next_state.reset();
                    break;
                default: // It reads the state and decides.
                    acting.read = stored;
                    move_input input = input_at(now, acting.fencing);
                    input.has_fresh_evidence = *rc::gen::arbitrary<bool>();
                    input.verdict.is_bad = *rc::gen::inRange(0, 40) == 0;
                    acting.next_state = machine.next(stored, declared, input);
                    if (acting.fencing < stored.fencing)
                    {
                        RC_ASSERT(!acting.next_state);
                    }
                    if (acting.next_state)
                    {
                        const bool rises =
                            acting.next_state->share > stored.share;
                        RC_ASSERT(!rises || input.has_fresh_evidence);
                        RC_ASSERT(!rises || !input.verdict.is_bad);
                        RC_ASSERT(
                            acting.next_state->share <=
                            highest_declared(*acting.next_state, declared));
                    }
                    const bool has_traffic =
                        stored.phase == move_phase::ramping ||
                        stored.phase == move_phase::soaking;
                    if (has_traffic && acting.fencing >= stored.fencing &&
                        (input.verdict.is_bad || now > declared.deadline))
                    {
                        RC_ASSERT(acting.next_state &&
                                  acting.next_state->phase ==
                                      move_phase::rolling_back);
                    }
                }
            }
        }));
}

TEST(move_state_machine,
     good_version_finishes_in_time_after_any_controller_outage)
{
    CHECK(rc::check("an outage of up to 100 s at any time",
                    []
                    {
                        const move_state_machine machine{move_settings{}};
                        const move_declaration declared = declared_move();
                        const seconds begin(*rc::gen::inRange(0, 1000));
                        const seconds length(*rc::gen::inRange(0, 100));
                        move_state state =
                            run_until(machine, initial_state(declared), start,
                                      start + begin);
                        state =
                            run_until(machine, state, start + begin + length,
                                      declared.deadline);
                        RC_ASSERT(state.phase == move_phase::finished);
                    }));
}

TEST(move_state_machine, small_shares_get_longer_steps)
{
    const move_state_machine machine{move_settings{}};
    const move_declaration declared = declared_move();
    move_state state = initial_state(declared);
    std::vector<time_point> ends;
    for (state.step = 0; state.step < 3; ++state.step)
    {
        state.since = ends.empty() ? start : ends.back();
        ends.push_back(machine.end_of_step(state, declared));
    }
    CHECK_TRUE(ends[0] - start > ends[1] - ends[0]);
    CHECK_TRUE(ends[1] - ends[0] > ends[2] - ends[1]);
    // 15% of the 900 s before the soak are reserved.
    CHECK_TRUE(ends[2] <= start + seconds(766));
    CHECK_TRUE(ends[2] >= start + seconds(764));
}

TEST(move_state_machine, waits_for_a_baseline_and_fixes_the_limits)
{
    const move_state_machine machine{move_settings{}};
    const move_declaration declared = declared_move();
    move_input input = input_at(start + seconds(1), 1);
    CHECK_FALSE(
        machine.next(initial_state(declared), declared, input).has_value());
    for (int number = 0; number < 200; ++number)
    {
        input.from_evidence.record({false, std::chrono::milliseconds(100),
                                    std::chrono::milliseconds(20)});
    }
    const std::optional<move_state> next_state =
        machine.next(initial_state(declared), declared, input);
    CHECK_TRUE(next_state.has_value() && next_state->limits.has_value());
    LONGS_EQUAL(declared.steps.front(), next_state->share);
    // Within the 6.25% width of a bucket.
    CHECK_TRUE(next_state->limits->first_token >=
               std::chrono::milliseconds(100));
    CHECK_TRUE(next_state->limits->first_token <=
               std::chrono::microseconds(106'250));
}

TEST(move_state_machine,
     adverse_evidence_pauses_the_move_until_the_deadline_rolls_it_back)
{
    const move_state_machine machine{move_settings{}};
    const move_declaration declared = declared_move();
    move_state state = run_until(machine, initial_state(declared), start,
                                 start + seconds(200));
    LONGS_EQUAL(0, state.step);
    move_input input = input_at(declared.deadline - declared.soak, 1);
    input.verdict.evidence = 0.9;
    CHECK_FALSE(machine.next(state, declared, input).has_value());
    input.now += seconds(1);
    state = *machine.next(state, declared, input);
    CHECK_TRUE(state.phase == move_phase::rolling_back);
    STRCMP_EQUAL("deadline", state.reason.c_str());
}
