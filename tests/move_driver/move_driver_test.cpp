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
    simulated_fleet fleet;
    fleet.add_controller(7);
    fleet.run(rounds_to_deadline);
    CHECK_TRUE(fleet.stored_state().phase == move_phase::finished);
    LONGS_EQUAL(2, fleet.orders.sent.size());
    LONGS_EQUAL(7, fleet.orders.sent.front().second.fencing);
    fleet.declared.moves.clear();
    fleet.run(1);
    CHECK_FALSE(
        fleet.store.get(codecs::move_key_of("narration")).value().has_value());
}

TEST(move_driver, bad_evidence_rolls_the_version_back_on_all_routers)
{
    simulated_fleet fleet;
    fleet.add_controller(7);
    fleet.run(400);
    CHECK_TRUE(fleet.stored_state().phase == move_phase::ramping);
    fleet.failing_versions = {"b"};
    while (fleet.stored_state().phase == move_phase::ramping)
    {
        fleet.run(1);
    }
    // After one round of evidence requests, no router uses the version.
    fleet.run(1);
    fleet.new_requests = 0;
    fleet.run(20);
    LONGS_EQUAL(0, fleet.new_requests);
    CHECK_TRUE(fleet.stored_state().phase == move_phase::rolling_back);
}

TEST(move_driver, cuts_a_bad_version_on_all_routers_during_a_store_outage)
{
    simulated_fleet fleet;
    fleet.add_controller(7);
    fleet.run(400);
    fleet.store.set_outage(true);
    // The version fails at one of the three routers only.
    fleet.failing_versions = {"b"};
    fleet.failing_router = &fleet.guards.front();
    fleet.run(200);
    fleet.new_requests = 0;
    fleet.run(50);
    LONGS_EQUAL(0, fleet.new_requests);
    CHECK_TRUE(fleet.stored_state().phase == move_phase::ramping);
    fleet.run(2);
    CHECK_TRUE(fleet.stored_state().phase == move_phase::rolling_back);
}

TEST(move_driver,
     without_a_controller_the_share_does_not_rise_and_routers_lower_it)
{
    simulated_fleet fleet;
    fleet.add_controller(7);
    fleet.run(1000);
    const std::int32_t share = fleet.stored_state().share;
    CHECK_TRUE(share > 10'000);
    fleet.fencings.front().reset();
    fleet.run(2 * 70);
    LONGS_EQUAL(share, fleet.stored_state().share);
    LONGS_EQUAL(
        10'000,
        fleet.guards.front().shares("narration").front().parts_per_million);
}

TEST(move_driver, does_not_ramp_further_while_a_router_is_unreachable)
{
    simulated_fleet fleet;
    fleet.add_controller(7);
    fleet.run(200);
    const std::int32_t step = fleet.stored_state().step;
    fleet.peers.unreachable = {"r1:1"};
    fleet.run(800);
    CHECK_TRUE(fleet.stored_state().phase == move_phase::ramping);
    LONGS_EQUAL(step, fleet.stored_state().step);
}

TEST(move_driver, a_new_controller_continues_the_move_and_fences_the_old_one)
{
    simulated_fleet fleet;
    drivers::move_driver& old_controller = fleet.add_controller(7);
    fleet.run(300);
    fleet.add_controller(9);
    // The first controller still believes that it leads, as after a pause.
    fleet.run(20);
    old_controller.step();
    fleet.run(rounds_to_deadline - 320);
    const domain::move_state state = fleet.stored_state();
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
            simulated_fleet fleet;
            fleet.requests_per_round = 3;
            fleet.add_controller(7);
            constexpr store_fault faults[] = {
                store_fault::none, store_fault::unavailable,
                store_fault::lost_reply, store_fault::lost_request,
                store_fault::conflict};
            std::int64_t sequence = -1;
            std::int32_t share = 0;
            for (int round = 0; round < 60; ++round)
            {
                fleet.store.script({store_fault::none,
                                    faults[*rc::gen::inRange(0, 5)],
                                    faults[*rc::gen::inRange(0, 5)]});
                fleet.run(21);
                fleet.store.script({});
                const auto read =
                    fleet.store.get(codecs::move_key_of("narration"));
                if (!read || !read.value())
                {
                    continue;
                }
                const domain::move_state state = fleet.stored_state();
                RC_ASSERT(state.sequence >= sequence);
                RC_ASSERT(state.share >= share);
                sequence = state.sequence;
                share = state.share;
            }
            RC_ASSERT(fleet.stored_state().phase == move_phase::finished);
        }));
}

TEST_GROUP(load_order_scheduler){};

namespace
{

struct scheduler_fixture
{
    simulated_fleet fleet;
    std::int64_t leader_fencing = 3;
    drivers::move_driver_settings settings;
    drivers::load_order_scheduler scheduler{
        fleet.orders,
        fleet.clock,
        fleet.log,
        settings,
        [this] { return std::optional<std::int64_t>(leader_fencing); },
        [](const std::function<void()>& task) { task(); }};
};

} // namespace

TEST(load_order_scheduler,
     waits_for_predecessor_orders_when_an_engine_ignores_fencing)
{
    scheduler_fixture fixture;
    domain::upstream_declaration engine = fixture.fleet.declared.upstreams[0];
    engine.has_fencing = false;
    fixture.scheduler.begin_term(3);
    const std::chrono::milliseconds predecessor_orders_end_after =
        fixture.settings.order_timeout + fixture.settings.lease_margin;
    fixture.fleet.clock.advance(predecessor_orders_end_after -
                                std::chrono::milliseconds(1));
    CHECK_FALSE(fixture.scheduler.ensure_loaded(engine, "b"));
    LONGS_EQUAL(0, fixture.fleet.orders.sent.size());
    fixture.fleet.clock.advance(std::chrono::milliseconds(1));
    fixture.scheduler.ensure_loaded(engine, "b");
    CHECK_TRUE(fixture.scheduler.ensure_loaded(engine, "b"));
    LONGS_EQUAL(1, fixture.fleet.orders.sent.size());
}

TEST(load_order_scheduler, limits_the_rate_of_load_orders)
{
    scheduler_fixture fixture;
    fixture.scheduler.begin_term(3);
    domain::upstream_declaration engine = fixture.fleet.declared.upstreams[0];
    constexpr int seconds_run = 600;
    for (int second = 0; second < seconds_run; ++second)
    {
        engine.name = "e" + std::to_string(second);
        fixture.scheduler.ensure_loaded(engine, "b");
        fixture.fleet.clock.advance(std::chrono::seconds(1));
    }
    // Six loads a minute. The first waits for one interval, because the
    // predecessor may have sent a load order right before this term.
    CHECK_COMPARE(fixture.fleet.orders.sent.size(), <=, 60U);
    CHECK_COMPARE(fixture.fleet.orders.sent.size(), >=, 59U);
}

TEST(load_order_scheduler,
     sends_no_order_once_another_leads_and_retries_a_failed_one)
{
    scheduler_fixture fixture;
    fixture.scheduler.begin_term(3);
    const domain::upstream_declaration engine =
        fixture.fleet.declared.upstreams[0];
    fixture.fleet.clock.advance(std::chrono::seconds(20));
    fixture.leader_fencing = 4;
    fixture.scheduler.ensure_loaded(engine, "b");
    LONGS_EQUAL(0, fixture.fleet.orders.sent.size());
    fixture.leader_fencing = 3;
    fixture.fleet.orders.is_failing = true;
    fixture.fleet.clock.advance(std::chrono::seconds(20));
    CHECK_FALSE(fixture.scheduler.ensure_loaded(engine, "b"));
    fixture.fleet.orders.is_failing = false;
    fixture.fleet.clock.advance(std::chrono::seconds(20));
    fixture.scheduler.ensure_loaded(engine, "b");
    CHECK_TRUE(fixture.scheduler.ensure_loaded(engine, "b"));
    LONGS_EQUAL(2, fixture.fleet.orders.sent.size());
}
