#include "tests/budget_driver/budget_service_fixture.hpp"

#include "libraries/domain/budget/shard_changes.hpp"

#include <atomic>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using drivers::budget_service;
using drivers::hold;
using fakes::store_fault;
using tests::budget_service_fixture;

namespace
{

/// Accepts and counts every bill.
class counting_bill_replicator final : public drivers::bill_replicator
{
public:
    status replicate(const std::string&, const domain::pending_bill&,
                     ports::steady_time) override
    {
        ++m_replicated_count;
        return success();
    }

    std::atomic<int> m_replicated_count{0};
};

} // namespace

TEST_GROUP(budget_service)
{
    budget_service_fixture fixture;

    void setup() override
    {
        CHECK_TRUE(fixture.top_up(100'000));
    }

    hold acquire_hold(budget_service & service, const std::string& id)
    {
        result<hold> got = service.acquire(
            budget_service_fixture::request(id, 100), fixture.long_deadline());
        CHECK_TRUE(got.has_value());
        return got.value();
    }

    void close_grants(const std::string& name)
    {
        const drivers::shard_edit edit =
            [&](domain::budget_shard& shard) -> result<domain::change>
        {
            const domain::sys_seconds now =
                std::chrono::time_point_cast<std::chrono::seconds>(
                    fixture.clock.system_now());
            static_cast<void>(freeze_incarnation(shard, name, now));
            return close_incarnation(shard, name, now, std::chrono::seconds(0));
        };
        CHECK_TRUE(
            fixture.editor.apply(0, edit, fixture.long_deadline()).has_value());
    }
};

TEST(budget_service, places_holds_bills_and_drains)
{
    std::unique_ptr<budget_service> service = fixture.start_service("r1");
    const hold held = acquire_hold(*service, "a");
    result<domain::bill_receipt> receipt =
        service->settle(held, 40, fixture.long_deadline());
    CHECK_TRUE(receipt.has_value());
    LONGS_EQUAL(40, receipt.value().billed);
    CHECK_FALSE(receipt.value().is_duplicate);
    service->release(acquire_hold(*service, "b"));
    CHECK_TRUE(service->drain(fixture.long_deadline()).has_value());
    LONGS_EQUAL(40, domain::settled_of(fixture.account()));
    LONGS_EQUAL(0, domain::outstanding_of(fixture.account()));
    LONGS_EQUAL(40, service->counters().billed_tokens);
}

TEST(budget_service, charges_once_when_replies_are_lost)
{
    std::unique_ptr<budget_service> service = fixture.start_service("r1");
    const hold held = acquire_hold(*service, "a");
    fixture.store.script({store_fault::lost_reply, store_fault::unavailable,
                          store_fault::none, store_fault::lost_request,
                          store_fault::delayed_effect, store_fault::none,
                          store_fault::conflict, store_fault::rate_limited});
    CHECK_TRUE(service->settle(held, 40, fixture.long_deadline()).has_value());
    fixture.store.apply_delayed_writes();
    CHECK_TRUE(service->drain(fixture.long_deadline()).has_value());
    LONGS_EQUAL(40, domain::settled_of(fixture.account()));
}

TEST(budget_service, charges_a_request_that_ran_on_two_routers_once)
{
    std::unique_ptr<budget_service> first = fixture.start_service("r1");
    std::unique_ptr<budget_service> second = fixture.start_service("r2");
    const hold one = acquire_hold(*first, "a");
    const hold two = acquire_hold(*second, "a");
    CHECK_FALSE(
        first->settle(one, 40, fixture.long_deadline()).value().is_duplicate);
    CHECK_TRUE(
        second->settle(two, 60, fixture.long_deadline()).value().is_duplicate);
    LONGS_EQUAL(40, domain::settled_of(fixture.account()));
}

TEST(budget_service, fails_settlement_until_the_bill_is_durable)
{
    std::unique_ptr<budget_service> service = fixture.start_service("r1");
    const hold held = acquire_hold(*service, "a");
    fixture.store.set_outage(true);
    result<domain::bill_receipt> receipt =
        service->settle(held, 40, fixture.short_deadline());
    CHECK_FALSE(receipt.has_value());
    CHECK_TRUE(receipt.failure().code == result_code::bill_undurable);
    CHECK_TRUE(receipt.failure().effect == outcome::outcome_unknown);
    fixture.store.set_outage(false);
    CHECK_TRUE(service->drain(fixture.long_deadline()).has_value());
    LONGS_EQUAL(40, domain::settled_of(fixture.account()));
}

TEST(budget_service, spends_existing_grants_during_an_outage)
{
    std::unique_ptr<budget_service> service = fixture.start_service("r1");
    // A spend rate makes the shard grant tokens before they are needed.
    CHECK_TRUE(
        service
            ->settle(acquire_hold(*service, "a"), 90, fixture.long_deadline())
            .has_value());
    CHECK_TRUE(
        service
            ->settle(acquire_hold(*service, "b"), 90, fixture.long_deadline())
            .has_value());
    fixture.store.set_outage(true);
    CHECK_TRUE(service
                   ->acquire(budget_service_fixture::request("c", 100),
                             fixture.short_deadline())
                   .has_value());
    fixture.store.set_outage(false);
}

TEST(budget_service, settles_with_a_replicated_bill_during_an_outage)
{
    counting_bill_replicator replicator;
    fixture.replicator = &replicator;
    fixture.settings.replicate_after = std::chrono::milliseconds(5);
    std::unique_ptr<budget_service> service = fixture.start_service("r1");
    const hold held = acquire_hold(*service, "a");
    fixture.store.set_outage(true);
    result<domain::bill_receipt> receipt =
        service->settle(held, 40, fixture.long_deadline());
    CHECK_TRUE(receipt.value().is_replicated);
    LONGS_EQUAL(1, replicator.m_replicated_count);
    fixture.store.set_outage(false);
    CHECK_TRUE(service->drain(fixture.long_deadline()).has_value());
    LONGS_EQUAL(40, domain::settled_of(fixture.account()));
}

TEST(budget_service, refuses_a_hold_above_the_budget)
{
    std::unique_ptr<budget_service> service = fixture.start_service("r1");
    result<hold> got = service->acquire(
        budget_service_fixture::request("a", 100'001), fixture.long_deadline());
    CHECK_TRUE(got.failure().code == result_code::budget_exhausted);
    CHECK_TRUE(got.failure().effect == outcome::not_run);
}

TEST(budget_service, refuses_bills_and_holds_after_its_grants_are_closed)
{
    std::unique_ptr<budget_service> service = fixture.start_service("r1");
    const hold held = acquire_hold(*service, "a");
    close_grants("r1");
    result<domain::bill_receipt> receipt =
        service->settle(held, 40, fixture.long_deadline());
    CHECK_TRUE(receipt.failure().code == result_code::grant_expired);
    result<hold> more = service->acquire(
        budget_service_fixture::request("b", 1), fixture.long_deadline());
    CHECK_TRUE(more.failure().code == result_code::grant_expired);
    LONGS_EQUAL(0, domain::settled_of(fixture.account()));
    LONGS_EQUAL(1, fixture.log.count(log_event::incarnation_fenced));
    CHECK_TRUE(service->counters().ledger.is_fenced);
}

TEST(budget_service, settles_the_billed_sum_despite_threads_and_faults)
{
    constexpr int thread_count = 8;
    constexpr int requests_each = 25;
    std::unique_ptr<budget_service> first = fixture.start_service("r1");
    std::unique_ptr<budget_service> second = fixture.start_service("r2");
    std::vector<store_fault> faults;
    for (int i = 0; i < 400; ++i)
    {
        faults.push_back(static_cast<store_fault>(
            fixture.random.next() % 3 == 0 ? fixture.random.next() % 7 : 0));
    }
    fixture.store.script(faults);
    std::atomic<domain::tokens> billed{0};
    std::atomic<int> delivered{0};
    std::vector<std::thread> threads;
    for (int thread = 0; thread < thread_count; ++thread)
    {
        threads.emplace_back(
            [&, thread]
            {
                budget_service& service = thread % 2 == 0 ? *first : *second;
                for (int i = 0; i < requests_each; ++i)
                {
                    const std::string id =
                        std::to_string(thread) + "-" + std::to_string(i);
                    result<hold> held = service.acquire(
                        budget_service_fixture::request(id, 100),
                        fixture.long_deadline());
                    if (!held)
                    {
                        continue;
                    }
                    result<domain::bill_receipt> receipt = service.settle(
                        held.value(), 1 + i, fixture.long_deadline());
                    delivered += receipt.has_value() ? 1 : 0;
                    billed += receipt ? receipt.value().billed : 0;
                }
            });
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    fixture.store.clear_script();
    fixture.store.apply_delayed_writes();
    CHECK_TRUE(first->drain(fixture.long_deadline()).has_value());
    CHECK_TRUE(second->drain(fixture.long_deadline()).has_value());
    LONGS_EQUAL(thread_count * requests_each, delivered);
    LONGS_EQUAL(billed, domain::settled_of(fixture.account()));
    LONGS_EQUAL(0, domain::outstanding_of(fixture.account()));
}
