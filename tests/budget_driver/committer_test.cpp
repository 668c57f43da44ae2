#include "tests/budget_driver/service_world.hpp"

#include "libraries/drivers/budget/grant_reclaimer.hpp"
#include "libraries/drivers/budget/peer_committer.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using drivers::budget_service;
using drivers::hold;
using tests::service_world;

namespace
{

/// Hands messages to a committer, as the peer at the other end would.
class loop_peer final : public ports::peer_caller
{
public:
    explicit loop_peer(drivers::batch_committer& committer,
                       const ports::clock& clock)
        : m_committer(committer)
        , m_clock(clock)
    {
    }

    result<std::string> call(const std::string&,
                             const ports::peer_message& message,
                             std::chrono::milliseconds timeout) override
    {
        ++m_calls;
        result<std::string> answered = drivers::answer_commit(
            message.body, m_committer, m_clock.steady_now() + timeout);
        // Every third reply is lost after its effect.
        if (m_calls % 3 == 0)
        {
            return error{result_code::peer_unavailable, "", "lost",
                         outcome::outcome_unknown};
        }
        return answered;
    }

    int m_calls = 0;

private:
    drivers::batch_committer& m_committer;
    const ports::clock& m_clock;
};

} // namespace

TEST_GROUP(committer)
{
    service_world world;

    void setup() override
    {
        CHECK_TRUE(world.top_up(100'000));
        world.settings.commit_threads = 1;
    }

    domain::tokens run_requests(budget_service & service, int count)
    {
        domain::tokens billed = 0;
        for (int i = 0; i < count; ++i)
        {
            result<hold> held = service.acquire(
                service_world::request(std::to_string(i), 100), world.late());
            CHECK_TRUE(held.has_value());
            result<domain::bill_receipt> receipt =
                service.settle(held.value(), 10 + i, world.late());
            CHECK_TRUE(receipt.has_value());
            billed += receipt.value().billed;
        }
        return billed;
    }
};

TEST(committer, forwards_to_a_peer_and_survives_its_loss)
{
    std::unique_ptr<budget_service> remote = world.start("r2");
    const domain::rate_share_policy policy(world.settings.grants);
    drivers::store_committer local(world.store, world.clock, world.random,
                                   world.log, world.settings.committer, policy);
    loop_peer peer(remote->local_committer(), world.clock);
    drivers::peer_committer forward(
        peer, local, world.clock, [](std::int32_t) { return "peer"; },
        std::chrono::milliseconds(1000));
    world.committer = &forward;
    std::unique_ptr<budget_service> service = world.start("r1");
    const domain::tokens billed = run_requests(*service, 12);
    CHECK_TRUE(service->drain(world.late()).has_value());
    LONGS_EQUAL(billed, domain::settled_of(world.account()));
    CHECK_TRUE(peer.m_calls > 0);
    CHECK_TRUE(remote->counters().committer.writes > 0);
}

TEST(committer, refuses_a_value_over_its_bound)
{
    world.settings.committer.value_bytes = 10;
    std::unique_ptr<budget_service> service = world.start("r1");
    result<hold> held =
        service->acquire(service_world::request("a", 1), world.soon());
    CHECK_TRUE(held.failure().code == result_code::grant_unavailable);
    CHECK_TRUE(service->counters().committer.failures > 0);
}

TEST(committer, reclaims_a_dead_incarnation_and_leaves_a_live_one)
{
    std::unique_ptr<budget_service> service = world.start("r1");
    run_requests(*service, 2);
    service.reset();
    CHECK_TRUE(domain::outstanding_of(world.account()) > 0);
    domain::reclaim_settings settings;
    settings.freeze_time = std::chrono::seconds(0);
    drivers::grant_reclaimer reclaimer(world.editor, world.clock, world.log,
                                       settings);
    const drivers::evidence_of alive = [](const std::string&) {
        return domain::incarnation_evidence{true, false, false};
    };
    const drivers::evidence_of dead = [](const std::string&) {
        return domain::incarnation_evidence{false, true, false};
    };
    LONGS_EQUAL(0, reclaimer.run(0, alive, world.late()).value().frozen);
    LONGS_EQUAL(1, reclaimer.run(0, dead, world.late()).value().frozen);
    LONGS_EQUAL(1, reclaimer.run(0, dead, world.late()).value().closed);
    LONGS_EQUAL(0, domain::outstanding_of(world.account()));
    LONGS_EQUAL(21, domain::settled_of(world.account()));
}

TEST(committer, applies_a_top_up_once_when_the_reply_is_lost)
{
    world.store.script(
        {fakes::store_fault::none, fakes::store_fault::lost_reply});
    CHECK_TRUE(world.top_up(50, "second"));
    LONGS_EQUAL(100'050, domain::total_top_ups_of(world.account()));
}
