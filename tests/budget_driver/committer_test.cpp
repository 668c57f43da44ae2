#include "tests/budget_driver/budget_service_fixture.hpp"

#include "libraries/drivers/budget/grant_reclaimer.hpp"
#include "libraries/drivers/budget/peer_committer.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using drivers::budget_service;
using drivers::hold;
using tests::budget_service_fixture;

namespace
{

/// Passes messages to a committer, as the called peer would.
class in_process_peer_caller final : public ports::peer_caller
{
public:
    explicit in_process_peer_caller(drivers::batch_committer& committer,
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
        result<std::string> response = drivers::handle_commit_message(
            message.body, m_committer, m_clock.steady_now() + timeout);
        // Every third reply is lost after the commit took effect.
        if (m_calls % 3 == 0)
        {
            return error{result_code::peer_unavailable, "", "lost",
                         outcome::outcome_unknown};
        }
        return response;
    }

    int m_calls = 0;

private:
    drivers::batch_committer& m_committer;
    const ports::clock& m_clock;
};

} // namespace

TEST_GROUP(committer)
{
    budget_service_fixture fixture;

    void setup() override
    {
        CHECK_TRUE(fixture.top_up(100'000));
        fixture.settings.commit_threads = 1;
    }

    domain::tokens run_requests(budget_service & service, int count)
    {
        domain::tokens billed = 0;
        for (int i = 0; i < count; ++i)
        {
            result<hold> held = service.acquire(
                budget_service_fixture::request(std::to_string(i), 100),
                fixture.long_deadline());
            CHECK_TRUE(held.has_value());
            result<domain::bill_receipt> receipt =
                service.settle(held.value(), 10 + i, fixture.long_deadline());
            CHECK_TRUE(receipt.has_value());
            billed += receipt.value().billed;
        }
        return billed;
    }
};

TEST(committer, bills_once_when_a_peer_loses_replies)
{
    std::unique_ptr<budget_service> remote = fixture.start_service("r2");
    const domain::rate_share_policy policy(fixture.settings.grants);
    drivers::store_committer local(fixture.store, fixture.clock, fixture.random,
                                   fixture.log, fixture.settings.committer,
                                   policy);
    in_process_peer_caller peer(remote->local_committer(), fixture.clock);
    drivers::peer_committer forwarder(
        peer, local, fixture.clock, [](std::int32_t) { return "peer"; },
        std::chrono::milliseconds(1000));
    fixture.committer = &forwarder;
    std::unique_ptr<budget_service> service = fixture.start_service("r1");
    const domain::tokens billed = run_requests(*service, 12);
    CHECK_TRUE(service->drain(fixture.long_deadline()).has_value());
    LONGS_EQUAL(billed, domain::settled_of(fixture.account()));
    CHECK_TRUE(peer.m_calls > 0);
    CHECK_TRUE(remote->counters().committer.writes > 0);
}

TEST(committer, refuses_to_write_a_value_over_the_size_limit)
{
    fixture.settings.committer.max_value_bytes = 10;
    std::unique_ptr<budget_service> service = fixture.start_service("r1");
    result<hold> held = service->acquire(
        budget_service_fixture::request("a", 1), fixture.short_deadline());
    CHECK_TRUE(held.failure().code == result_code::grant_unavailable);
    CHECK_TRUE(service->counters().committer.failures > 0);
}

TEST(committer, reclaims_the_grants_of_an_ended_incarnation_only)
{
    std::unique_ptr<budget_service> service = fixture.start_service("r1");
    run_requests(*service, 2);
    service.reset();
    CHECK_TRUE(domain::outstanding_of(fixture.account()) > 0);
    domain::reclaim_settings settings;
    settings.freeze_time = std::chrono::seconds(0);
    drivers::grant_reclaimer reclaimer(fixture.editor, fixture.clock,
                                       fixture.log, settings);
    const drivers::evidence_of live_evidence = [](const std::string&) {
        return domain::incarnation_evidence{true, false, false};
    };
    const drivers::evidence_of end_evidence = [](const std::string&) {
        return domain::incarnation_evidence{false, true, false};
    };
    LONGS_EQUAL(0, reclaimer.run(0, live_evidence, fixture.long_deadline())
                       .value()
                       .frozen);
    LONGS_EQUAL(
        1,
        reclaimer.run(0, end_evidence, fixture.long_deadline()).value().frozen);
    LONGS_EQUAL(
        1,
        reclaimer.run(0, end_evidence, fixture.long_deadline()).value().closed);
    LONGS_EQUAL(0, domain::outstanding_of(fixture.account()));
    LONGS_EQUAL(21, domain::settled_of(fixture.account()));
}

TEST(committer, applies_a_top_up_once_when_the_reply_is_lost)
{
    fixture.store.script(
        {fakes::store_fault::none, fakes::store_fault::lost_reply});
    CHECK_TRUE(fixture.top_up(50, "second"));
    LONGS_EQUAL(100'050, domain::total_top_ups_of(fixture.account()));
}
