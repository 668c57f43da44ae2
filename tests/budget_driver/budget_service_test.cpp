#include "tests/budget_driver/service_world.hpp"

#include "libraries/domain/budget/shard_changes.hpp"

#include <atomic>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using drivers::budget_service;
using drivers::hold;
using fakes::store_fault;
using tests::service_world;

namespace
{

/// Keeps every copy and counts them.
class counting_replica final : public drivers::bill_replica
{
public:
    status keep(const std::string&, const domain::pending_bill&,
                ports::steady_time) override
    {
        ++m_kept;
        return success();
    }

    std::atomic<int> m_kept{0};
};

} // namespace

TEST_GROUP(budget_service)
{
    service_world world;

    void setup() override
    {
        CHECK_TRUE(world.top_up(100'000));
    }

    hold get(budget_service & service, const std::string& id)
    {
        result<hold> got =
            service.acquire(service_world::request(id, 100), world.late());
        CHECK_TRUE(got.has_value());
        return got.value();
    }

    void close(const std::string& name)
    {
        const drivers::shard_edit edit =
            [&](domain::budget_shard& shard) -> result<domain::change>
        {
            const domain::sys_seconds now =
                std::chrono::time_point_cast<std::chrono::seconds>(
                    world.clock.system_now());
            static_cast<void>(freeze_incarnation(shard, name, now));
            return close_incarnation(shard, name, now, std::chrono::seconds(0));
        };
        CHECK_TRUE(world.editor.apply(0, edit, world.late()).has_value());
    }
};

TEST(budget_service, holds_bills_and_drains)
{
    std::unique_ptr<budget_service> service = world.start("r1");
    const hold held = get(*service, "a");
    result<domain::bill_receipt> receipt =
        service->settle(held, 40, world.late());
    CHECK_TRUE(receipt.has_value());
    LONGS_EQUAL(40, receipt.value().billed);
    CHECK_FALSE(receipt.value().is_duplicate);
    service->release(get(*service, "b"));
    CHECK_TRUE(service->drain(world.late()).has_value());
    LONGS_EQUAL(40, domain::settled_of(world.account()));
    LONGS_EQUAL(0, domain::outstanding_of(world.account()));
    LONGS_EQUAL(40, service->counters().billed_tokens);
}

TEST(budget_service, charges_once_when_replies_are_lost)
{
    std::unique_ptr<budget_service> service = world.start("r1");
    const hold held = get(*service, "a");
    world.store.script({store_fault::lost_reply, store_fault::unavailable,
                        store_fault::none, store_fault::lost_request,
                        store_fault::delayed_effect, store_fault::none,
                        store_fault::conflict, store_fault::rate_limited});
    CHECK_TRUE(service->settle(held, 40, world.late()).has_value());
    world.store.apply_delayed_writes();
    CHECK_TRUE(service->drain(world.late()).has_value());
    LONGS_EQUAL(40, domain::settled_of(world.account()));
}

TEST(budget_service, charges_a_request_that_ran_on_two_routers_once)
{
    std::unique_ptr<budget_service> first = world.start("r1");
    std::unique_ptr<budget_service> second = world.start("r2");
    const hold one = get(*first, "a");
    const hold two = get(*second, "a");
    CHECK_FALSE(first->settle(one, 40, world.late()).value().is_duplicate);
    CHECK_TRUE(second->settle(two, 60, world.late()).value().is_duplicate);
    LONGS_EQUAL(40, domain::settled_of(world.account()));
}

TEST(budget_service, withholds_the_answer_until_the_bill_is_durable)
{
    std::unique_ptr<budget_service> service = world.start("r1");
    const hold held = get(*service, "a");
    world.store.set_outage(true);
    result<domain::bill_receipt> receipt =
        service->settle(held, 40, world.soon());
    CHECK_FALSE(receipt.has_value());
    CHECK_TRUE(receipt.failure().code == result_code::bill_undurable);
    CHECK_TRUE(receipt.failure().effect == outcome::outcome_unknown);
    world.store.set_outage(false);
    CHECK_TRUE(service->drain(world.late()).has_value());
    LONGS_EQUAL(40, domain::settled_of(world.account()));
}

TEST(budget_service, spends_held_grants_during_an_outage)
{
    std::unique_ptr<budget_service> service = world.start("r1");
    // A rate gives the router tokens ahead of need.
    CHECK_TRUE(
        service->settle(get(*service, "a"), 90, world.late()).has_value());
    CHECK_TRUE(
        service->settle(get(*service, "b"), 90, world.late()).has_value());
    world.store.set_outage(true);
    CHECK_TRUE(service->acquire(service_world::request("c", 100), world.soon())
                   .has_value());
    world.store.set_outage(false);
}

TEST(budget_service, releases_on_the_strength_of_a_copy)
{
    counting_replica replica;
    world.replica = &replica;
    world.settings.replica_after = std::chrono::milliseconds(5);
    std::unique_ptr<budget_service> service = world.start("r1");
    const hold held = get(*service, "a");
    world.store.set_outage(true);
    result<domain::bill_receipt> receipt =
        service->settle(held, 40, world.late());
    CHECK_TRUE(receipt.value().is_replicated);
    LONGS_EQUAL(1, replica.m_kept);
    world.store.set_outage(false);
    CHECK_TRUE(service->drain(world.late()).has_value());
    LONGS_EQUAL(40, domain::settled_of(world.account()));
}

TEST(budget_service, refuses_what_the_budget_cannot_pay)
{
    std::unique_ptr<budget_service> service = world.start("r1");
    result<hold> got =
        service->acquire(service_world::request("a", 100'001), world.late());
    CHECK_TRUE(got.failure().code == result_code::budget_exhausted);
    CHECK_TRUE(got.failure().effect == outcome::not_run);
}

TEST(budget_service, emits_nothing_once_it_is_closed)
{
    std::unique_ptr<budget_service> service = world.start("r1");
    const hold held = get(*service, "a");
    close("r1");
    result<domain::bill_receipt> receipt =
        service->settle(held, 40, world.late());
    CHECK_TRUE(receipt.failure().code == result_code::grant_expired);
    result<hold> more =
        service->acquire(service_world::request("b", 1), world.late());
    CHECK_TRUE(more.failure().code == result_code::grant_expired);
    LONGS_EQUAL(0, domain::settled_of(world.account()));
    LONGS_EQUAL(1, world.log.count(log_event::incarnation_fenced));
    CHECK_TRUE(service->counters().ledger.is_fenced);
}

TEST(budget_service, keeps_the_sum_under_many_threads_and_faults)
{
    constexpr int thread_count = 8;
    constexpr int requests_each = 25;
    std::unique_ptr<budget_service> first = world.start("r1");
    std::unique_ptr<budget_service> second = world.start("r2");
    std::vector<store_fault> faults;
    for (int i = 0; i < 400; ++i)
    {
        faults.push_back(static_cast<store_fault>(
            world.random.next() % 3 == 0 ? world.random.next() % 7 : 0));
    }
    world.store.script(faults);
    std::atomic<domain::tokens> billed{0};
    std::atomic<int> delivered{0};
    std::vector<std::thread> threads;
    for (int thread = 0; thread < thread_count; ++thread)
    {
        threads.emplace_back(
            [&, thread]
            {
                budget_service& mine = thread % 2 == 0 ? *first : *second;
                for (int i = 0; i < requests_each; ++i)
                {
                    const std::string id =
                        std::to_string(thread) + "-" + std::to_string(i);
                    result<hold> held = mine.acquire(
                        service_world::request(id, 100), world.late());
                    if (!held)
                    {
                        continue;
                    }
                    result<domain::bill_receipt> receipt =
                        mine.settle(held.value(), 1 + i, world.late());
                    delivered += receipt.has_value() ? 1 : 0;
                    billed += receipt ? receipt.value().billed : 0;
                }
            });
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    world.store.clear_script();
    world.store.apply_delayed_writes();
    CHECK_TRUE(first->drain(world.late()).has_value());
    CHECK_TRUE(second->drain(world.late()).has_value());
    LONGS_EQUAL(thread_count * requests_each, delivered);
    LONGS_EQUAL(billed, domain::settled_of(world.account()));
    LONGS_EQUAL(0, domain::outstanding_of(world.account()));
}
