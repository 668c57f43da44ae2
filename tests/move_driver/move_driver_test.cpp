#include <rapidcheck.h>

#include "tests/move_driver/simulated_fleet.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using domain::move_phase;

TEST_GROUP(move_driver){};

namespace
{

/// Rounds of half a second until the deadline of the move.
constexpr int rounds_to_deadline = 2 * (30 + 600);

} // namespace

TEST(move_driver, finishes_a_good_version_and_deletes_the_key_of_a_removed_move)
{
    simulated_fleet test_fleet;
    test_fleet.add_controller(7);
    test_fleet.run(rounds_to_deadline);
    CHECK_TRUE(test_fleet.stored_state().phase == move_phase::finished);
    LONGS_EQUAL(2, test_fleet.orders.sent.size());
    LONGS_EQUAL(7, test_fleet.orders.sent.front().second.fencing);
    test_fleet.declared.moves.clear();
    test_fleet.run(1);
    CHECK_FALSE(test_fleet.store.get(codecs::move_key_of("narration"))
                    .value()
                    .has_value());
}

TEST(move_driver, bad_evidence_rolls_the_version_back_on_all_routers)
{
    simulated_fleet test_fleet;
    test_fleet.add_controller(7);
    test_fleet.run(400);
    CHECK_TRUE(test_fleet.stored_state().phase == move_phase::ramping);
    test_fleet.failing_versions = {"b"};
    while (test_fleet.stored_state().phase == move_phase::ramping)
    {
        test_fleet.run(1);
    }
    // After one round of evidence requests, no router uses the version.
    test_fleet.run(1);
    test_fleet.new_version_requests = 0;
    test_fleet.run(20);
    LONGS_EQUAL(0, test_fleet.new_version_requests);
    CHECK_TRUE(test_fleet.stored_state().phase == move_phase::rolling_back);
}

TEST(move_driver, cuts_a_bad_version_on_all_routers_during_a_store_outage)
{
    simulated_fleet test_fleet;
    test_fleet.add_controller(7);
    test_fleet.run(400);
    test_fleet.store.set_outage(true);
    // The version fails at one of the three routers only.
    test_fleet.failing_versions = {"b"};
    test_fleet.failing_router = &test_fleet.guards.front();
    test_fleet.run(200);
    test_fleet.new_version_requests = 0;
    test_fleet.run(50);
    LONGS_EQUAL(0, test_fleet.new_version_requests);
    CHECK_TRUE(test_fleet.stored_state().phase == move_phase::ramping);
    test_fleet.run(2);
    CHECK_TRUE(test_fleet.stored_state().phase == move_phase::rolling_back);
}

TEST(move_driver,
     without_a_controller_the_share_does_not_rise_and_routers_lower_it)
{
    simulated_fleet test_fleet;
    test_fleet.add_controller(7);
    test_fleet.run(1000);
    const std::int32_t share = test_fleet.stored_state().share;
    CHECK_TRUE(share > 10'000);
    test_fleet.fencings.front().reset();
    test_fleet.run(2 * 70);
    LONGS_EQUAL(share, test_fleet.stored_state().share);
    LONGS_EQUAL(10'000, test_fleet.guards.front()
                            .shares("narration")
                            .front()
                            .parts_per_million);
}

TEST(move_driver, does_not_ramp_further_while_a_router_is_unreachable)
{
    simulated_fleet test_fleet;
    test_fleet.add_controller(7);
    test_fleet.run(200);
    const std::int32_t step = test_fleet.stored_state().step;
    test_fleet.peers.unreachable = {"r1:1"};
    test_fleet.run(800);
    CHECK_TRUE(test_fleet.stored_state().phase == move_phase::ramping);
    LONGS_EQUAL(step, test_fleet.stored_state().step);
}

TEST(move_driver, a_new_controller_continues_the_move_and_fences_the_old_one)
{
    simulated_fleet test_fleet;
    drivers::move_driver& old_controller = test_fleet.add_controller(7);
    test_fleet.run(300);
    test_fleet.add_controller(9);
    // The first controller still believes that it leads, as after a pause.
    test_fleet.run(20);
    old_controller.step();
    test_fleet.run(rounds_to_deadline - 320);
    const domain::move_state state = test_fleet.stored_state();
    CHECK_TRUE(state.phase == move_phase::finished);
    LONGS_EQUAL(9, state.fencing);
}

TEST(move_driver, steps_never_go_back_when_writes_to_the_store_fail)
{
    using fakes::store_fault;
    CHECK(rc::check(
        "faults of the store",
        []
        {
            simulated_fleet test_fleet;
            test_fleet.requests_per_round = 3;
            test_fleet.add_controller(7);
            constexpr store_fault faults[] = {
                store_fault::none, store_fault::unavailable,
                store_fault::lost_reply, store_fault::lost_request,
                store_fault::conflict};
            std::int64_t sequence = -1;
            std::int32_t share = 0;
            for (int round = 0; round < 60; ++round)
            {
                test_fleet.store.script({store_fault::none,
                                         faults[*rc::gen::inRange(0, 5)],
                                         faults[*rc::gen::inRange(0, 5)]});
                test_fleet.run(21);
                test_fleet.store.script({});
                const auto read =
                    test_fleet.store.get(codecs::move_key_of("narration"));
                if (!read || !read.value())
                {
                    continue;
                }
                const domain::move_state state = test_fleet.stored_state();
                RC_ASSERT(state.sequence >= sequence);
                RC_ASSERT(state.share >= share);
                sequence = state.sequence;
                share = state.share;
            }
            RC_ASSERT(test_fleet.stored_state().phase == move_phase::finished);
        }));
}

TEST_GROUP(load_order_scheduler){};

namespace
{

struct scheduler_fixture
{
    simulated_fleet test_fleet;
    std::int64_t leader_fencing = 3;
    drivers::move_driver_settings settings;
    drivers::load_order_scheduler scheduler{
        test_fleet.orders,
        test_fleet.clock,
        test_fleet.log,
        settings,
        [this] { return std::optional<std::int64_t>(leader_fencing); },
        [](const std::function<void()>& task) { task(); }};
};

} // namespace

TEST(load_order_scheduler,
     waits_for_predecessor_orders_when_an_engine_ignores_fencing)
{
    scheduler_fixture fixture;
    domain::upstream_declaration engine =
        fixture.test_fleet.declared.upstreams[0];
    engine.has_fencing = false;
    fixture.scheduler.begin_term(3);
    const std::chrono::milliseconds predecessor_orders_end_after =
        fixture.settings.order_timeout + fixture.settings.lease_margin;
    fixture.test_fleet.clock.advance(predecessor_orders_end_after -
                                     std::chrono::milliseconds(1));
    CHECK_FALSE(fixture.scheduler.ensure_loaded(engine, "b"));
    LONGS_EQUAL(0, fixture.test_fleet.orders.sent.size());
    fixture.test_fleet.clock.advance(std::chrono::milliseconds(1));
    fixture.scheduler.ensure_loaded(engine, "b");
    CHECK_TRUE(fixture.scheduler.ensure_loaded(engine, "b"));
    LONGS_EQUAL(1, fixture.test_fleet.orders.sent.size());
}

TEST(load_order_scheduler, limits_the_rate_of_load_orders)
{
    scheduler_fixture fixture;
    fixture.scheduler.begin_term(3);
    domain::upstream_declaration engine =
        fixture.test_fleet.declared.upstreams[0];
    constexpr int seconds_run = 600;
    for (int second = 0; second < seconds_run; ++second)
    {
        engine.name = "e" + std::to_string(second);
        fixture.scheduler.ensure_loaded(engine, "b");
        fixture.test_fleet.clock.advance(std::chrono::seconds(1));
    }
    // Six loads a minute. The first waits for one interval, because the
    // predecessor may have sent a load order right before this term.
    CHECK_COMPARE(fixture.test_fleet.orders.sent.size(), <=, 60U);
    CHECK_COMPARE(fixture.test_fleet.orders.sent.size(), >=, 59U);
}

TEST(load_order_scheduler,
     sends_no_order_once_another_leads_and_retries_a_failed_one)
{
    scheduler_fixture fixture;
    fixture.scheduler.begin_term(3);
    const domain::upstream_declaration engine =
        fixture.test_fleet.declared.upstreams[0];
    fixture.test_fleet.clock.advance(std::chrono::seconds(20));
    fixture.leader_fencing = 4;
    fixture.scheduler.ensure_loaded(engine, "b");
    LONGS_EQUAL(0, fixture.test_fleet.orders.sent.size());
    fixture.leader_fencing = 3;
    fixture.test_fleet.orders.is_failing = true;
    fixture.test_fleet.clock.advance(std::chrono::seconds(20));
    CHECK_FALSE(fixture.scheduler.ensure_loaded(engine, "b"));
    fixture.test_fleet.orders.is_failing = false;
    fixture.test_fleet.clock.advance(std::chrono::seconds(20));
    fixture.scheduler.ensure_loaded(engine, "b");
    CHECK_TRUE(fixture.scheduler.ensure_loaded(engine, "b"));
    LONGS_EQUAL(2, fixture.test_fleet.orders.sent.size());
}
