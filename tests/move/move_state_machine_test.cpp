#include <rapidcheck.h>

#include "libraries/domain/move/move_machine.hpp"

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

/// A controller that may be paused between its read and its write.
struct controller
{
    std::int64_t fencing = 0;
    move_state read;
    std::optional<move_state> made;
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
move_state run_until(const move_machine& machine, move_state state,
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
               ? whole_share
               : declared.steps[static_cast<std::size_t>(state.step)];
}

} // namespace

TEST_GROUP(move_machine){};

TEST(move_machine, holds_its_rules_under_crashes_and_two_controllers)
{
    CHECK(rc::check(
        "any schedule of two controllers",
        []
        {
            const move_declaration declared = declared_move();
            const move_machine machine{move_settings{}};
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
                case 0: // It wins the leadership, after a crash or a lapse.
                    acting = {};
                    acting.fencing = ++issued;
                    acting.read = stored;
                    break;
                case 1: // It writes what it had decided, if it still can.
                    if (acting.made && acting.read == stored)
                    {
                        RC_ASSERT(acting.made->sequence == stored.sequence + 1);
                        RC_ASSERT(acting.made->fencing >= stored.fencing);
                        RC_ASSERT(!is_final(stored.phase));
                        RC_ASSERT(stored.phase != move_phase::taking_back ||
                                  acting.made->share == 0);
                        stored = *acting.made;
                    }
                    acting.made.reset();
                    break;
                default: // It reads and decides.
                    acting.read = stored;
                    move_input input = input_at(now, acting.fencing);
                    input.has_fresh_evidence = *rc::gen::arbitrary<bool>();
                    input.verdict.is_bad = *rc::gen::inRange(0, 40) == 0;
                    acting.made = machine.next(stored, declared, input);
                    if (acting.fencing < stored.fencing)
                    {
                        RC_ASSERT(!acting.made);
                    }
                    if (acting.made)
                    {
                        const bool rises = acting.made->share > stored.share;
                        RC_ASSERT(!rises || input.has_fresh_evidence);
                        RC_ASSERT(!rises || !input.verdict.is_bad);
                        RC_ASSERT(acting.made->share <=
                                  highest_declared(*acting.made, declared));
                    }
                    const bool has_traffic =
                        stored.phase == move_phase::ramping ||
                        stored.phase == move_phase::soaking;
                    if (has_traffic && acting.fencing >= stored.fencing &&
                        (input.verdict.is_bad || now > declared.deadline))
                    {
                        RC_ASSERT(acting.made && acting.made->phase ==
                                                     move_phase::taking_back);
                    }
                }
            }
        }));
}

TEST(move_machine, good_version_finishes_in_time_from_any_controller_gap)
{
    CHECK(rc::check("a gap of up to 100 s anywhere",
                    []
                    {
                        const move_machine machine{move_settings{}};
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

TEST(move_machine, small_steps_get_more_of_the_time)
{
    const move_machine machine{move_settings{}};
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
    // 15% of the 900 s before the soak are kept back.
    CHECK_TRUE(ends[2] <= start + seconds(766));
    CHECK_TRUE(ends[2] >= start + seconds(764));
}

TEST(move_machine, waits_for_a_baseline_and_fixes_the_limits)
{
    const move_machine machine{move_settings{}};
    const move_declaration declared = declared_move();
    move_input input = input_at(start + seconds(1), 1);
    CHECK_FALSE(
        machine.next(initial_state(declared), declared, input).has_value());
    for (int number = 0; number < 200; ++number)
    {
        input.from_evidence.record({false, std::chrono::milliseconds(100),
                                    std::chrono::milliseconds(20)});
    }
    const std::optional<move_state> made =
        machine.next(initial_state(declared), declared, input);
    CHECK_TRUE(made.has_value() && made->limits.has_value());
    LONGS_EQUAL(declared.steps.front(), made->share);
    // Within the 6.25% width of a bucket.
    CHECK_TRUE(made->limits->first_token >= std::chrono::milliseconds(100));
    CHECK_TRUE(made->limits->first_token <= std::chrono::microseconds(106'250));
}

TEST(move_machine, suspicion_holds_a_step_until_the_deadline_takes_it_back)
{
    const move_machine machine{move_settings{}};
    const move_declaration declared = declared_move();
    move_state state = run_until(machine, initial_state(declared), start,
                                 start + seconds(200));
    LONGS_EQUAL(0, state.step);
    move_input input = input_at(declared.deadline - declared.soak, 1);
    input.verdict.evidence = 0.9;
    CHECK_FALSE(machine.next(state, declared, input).has_value());
    input.now += seconds(1);
    state = *machine.next(state, declared, input);
    CHECK_TRUE(state.phase == move_phase::taking_back);
    STRCMP_EQUAL("deadline", state.reason.c_str());
}
