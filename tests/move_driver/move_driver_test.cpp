#include <rapidcheck.h>

#include "tests/move_driver/fleet.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using domain::move_phase;

TEST_GROUP(move_driver){};

namespace
{

constexpr int turns_to_deadline = 2 * (30 + 600);

} // namespace

TEST(move_driver, good_version_finishes_and_its_key_goes_with_the_declaration)
{
    fleet whole;
    whole.add_controller(7);
    whole.run(turns_to_deadline);
    CHECK_TRUE(whole.stored().phase == move_phase::finished);
    LONGS_EQUAL(2, whole.orders.sent.size());
    LONGS_EQUAL(7, whole.orders.sent.front().second.fencing);
    whole.declared.moves.clear();
    whole.run(1);
    CHECK_FALSE(
        whole.store.get(codecs::move_key_of("narration")).value().has_value());
}

TEST(move_driver, evidence_of_one_router_stops_the_version_everywhere)
{
    fleet whole;
    whole.add_controller(7);
    whole.run(400);
    CHECK_TRUE(whole.stored().phase == move_phase::ramping);
    whole.failing_versions = {"b"};
    while (whole.stored().phase == move_phase::ramping)
    {
        whole.run(1);
    }
    // One round of questions later no router uses the version.
    whole.run(1);
    whole.new_requests = 0;
    whole.run(20);
    LONGS_EQUAL(0, whole.new_requests);
    CHECK_TRUE(whole.stored().phase == move_phase::rolling_back);
}

TEST(move_driver, a_bad_version_is_cut_while_the_store_is_out)
{
    fleet whole;
    whole.add_controller(7);
    whole.run(400);
    whole.store.set_outage(true);
    // Two of the three routers see nothing wrong with the version.
    whole.failing_versions = {"b"};
    whole.failing_at = &whole.guards.front();
    whole.run(200);
    whole.new_requests = 0;
    whole.run(50);
    LONGS_EQUAL(0, whole.new_requests);
    CHECK_TRUE(whole.stored().phase == move_phase::ramping);
    whole.run(2);
    CHECK_TRUE(whole.stored().phase == move_phase::rolling_back);
}

TEST(move_driver, nothing_rises_without_a_controller_and_the_share_falls_back)
{
    fleet whole;
    whole.add_controller(7);
    whole.run(1000);
    const std::int32_t share = whole.stored().share;
    CHECK_TRUE(share > 10'000);
    whole.fencings.front().reset();
    whole.run(2 * 70);
    LONGS_EQUAL(share, whole.stored().share);
    LONGS_EQUAL(
        10'000,
        whole.guards.front().shares("narration").front().parts_per_million);
}

TEST(move_driver, unreachable_routers_hold_the_ramp)
{
    fleet whole;
    whole.add_controller(7);
    whole.run(200);
    const std::int32_t step = whole.stored().step;
    whole.peers.unreachable = {"r1:1"};
    whole.run(800);
    CHECK_TRUE(whole.stored().phase == move_phase::ramping);
    LONGS_EQUAL(step, whole.stored().step);
}

TEST(move_driver, a_new_controller_goes_on_and_the_old_one_is_fenced)
{
    fleet whole;
    drivers::move_driver& first = whole.add_controller(7);
    whole.run(300);
    whole.add_controller(9);
    // The first one still believes that it leads, as after a pause.
    whole.run(20);
    first.step();
    whole.run(turns_to_deadline - 320);
    const domain::move_state state = whole.stored();
    CHECK_TRUE(state.phase == move_phase::finished);
    LONGS_EQUAL(9, state.fencing);
}

TEST(move_driver, store_faults_at_any_write_leave_one_sequence_of_steps)
{
    using fakes::store_fault;
    CHECK(
        rc::check("faults of the store",
                  []
                  {
                      fleet whole;
                      whole.requests_per_turn = 3;
                      whole.add_controller(7);
                      constexpr store_fault faults[] = {
                          store_fault::none, store_fault::unavailable,
                          store_fault::lost_reply, store_fault::lost_request,
                          store_fault::conflict};
                      std::int64_t sequence = -1;
                      std::int32_t share = 0;
                      for (int turn = 0; turn < 60; ++turn)
                      {
                          whole.store.script({store_fault::none,
                                              faults[*rc::gen::inRange(0, 5)],
                                              faults[*rc::gen::inRange(0, 5)]});
                          whole.run(21);
                          whole.store.script({});
                          const auto read =
                              whole.store.get(codecs::move_key_of("narration"));
                          if (!read || !read.value())
                          {
                              continue;
                          }
                          const domain::move_state state = whole.stored();
                          RC_ASSERT(state.sequence >= sequence);
                          RC_ASSERT(state.share >= share);
                          sequence = state.sequence;
                          share = state.share;
                      }
                      RC_ASSERT(whole.stored().phase == move_phase::finished);
                  }));
}

TEST_GROUP(order_desk){};

namespace
{

struct desk_fixture
{
    fleet whole;
    std::int64_t leading = 3;
    drivers::move_driver_settings settings;
    drivers::order_desk desk{whole.orders,
                             whole.clock,
                             whole.log,
                             settings,
                             [this]
                             { return std::optional<std::int64_t>(leading); },
                             [](const std::function<void()>& task) { task(); }};
};

} // namespace

TEST(order_desk, waits_out_the_predecessor_of_an_engine_without_fencing)
{
    desk_fixture fixture;
    domain::upstream_declaration engine = fixture.whole.declared.upstreams[0];
    engine.has_fencing = false;
    fixture.desk.begin_term(3);
    const std::chrono::milliseconds longest =
        fixture.settings.order_timeout + fixture.settings.lease_slack;
    fixture.whole.clock.advance(longest - std::chrono::milliseconds(1));
    CHECK_FALSE(fixture.desk.load(engine, "b"));
    LONGS_EQUAL(0, fixture.whole.orders.sent.size());
    fixture.whole.clock.advance(std::chrono::milliseconds(1));
    fixture.desk.load(engine, "b");
    CHECK_TRUE(fixture.desk.load(engine, "b"));
    LONGS_EQUAL(1, fixture.whole.orders.sent.size());
}

TEST(order_desk, keeps_to_the_rate_of_the_weight_store)
{
    desk_fixture fixture;
    fixture.desk.begin_term(3);
    domain::upstream_declaration engine = fixture.whole.declared.upstreams[0];
    constexpr int seconds_run = 600;
    for (int second = 0; second < seconds_run; ++second)
    {
        engine.name = "e" + std::to_string(second);
        fixture.desk.load(engine, "b");
        fixture.whole.clock.advance(std::chrono::seconds(1));
    }
    // Six loads a minute, the first after the predecessor's pause.
    CHECK_COMPARE(fixture.whole.orders.sent.size(), <=, 60U);
    CHECK_COMPARE(fixture.whole.orders.sent.size(), >=, 59U);
}

TEST(order_desk, sends_nothing_once_another_leads_and_retries_a_failure)
{
    desk_fixture fixture;
    fixture.desk.begin_term(3);
    const domain::upstream_declaration engine =
        fixture.whole.declared.upstreams[0];
    fixture.whole.clock.advance(std::chrono::seconds(20));
    fixture.leading = 4;
    fixture.desk.load(engine, "b");
    LONGS_EQUAL(0, fixture.whole.orders.sent.size());
    fixture.leading = 3;
    fixture.whole.orders.is_failing = true;
    fixture.whole.clock.advance(std::chrono::seconds(20));
    CHECK_FALSE(fixture.desk.load(engine, "b"));
    fixture.whole.orders.is_failing = false;
    fixture.whole.clock.advance(std::chrono::seconds(20));
    fixture.desk.load(engine, "b");
    CHECK_TRUE(fixture.desk.load(engine, "b"));
    LONGS_EQUAL(2, fixture.whole.orders.sent.size());
}
