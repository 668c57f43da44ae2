#include <rapidcheck.h>

#include "libraries/codecs/fleet/prepaid_record_codec.hpp"
#include "libraries/domain/prepaid/prepaid_ledger.hpp"
#include "libraries/drivers/fleet/token_grant_client.hpp"
#include "libraries/fakes/counting_logger.hpp"
#include "libraries/fakes/manual_clock.hpp"
#include "tests/fleet/fake_asynchronous_store.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::tests;
using namespace std::chrono_literals;

namespace
{

constexpr std::int64_t prepaid_total = 100'000;

/// One router's grant client and the ledger that spends the granted tokens.
struct router
{
    router(fake_asynchronous_store& store, const fakes::manual_clock& clock,
           logger& log, const std::string& name)
        : client(store, clock, log, name, name)
    {
        client.set_prepaid_totals({{"acme", prepaid_total}});
        client.set_members({"a", "b", "c"});
        client.on_change([this] { apply_grants(); });
    }

    void apply_grants()
    {
        for (const auto& [account, summary] : client.grant_summaries())
        {
            ledger.set_granted(account, summary.cumulative_granted - released);
        }
    }

    std::map<std::string, drivers::account_token_demand> token_demands() const
    {
        const domain::prepaid_balance balance = ledger.balance("acme");
        drivers::account_token_demand token_demand;
        token_demand.used = balance.used;
        token_demand.held = balance.held;
        token_demand.free = balance.free();
        token_demand.lacking = lacking;
        return {{"acme", token_demand}};
    }

    void adjust_grants()
    {
        for (const auto& [account, tokens] :
             client.adjust_grants(token_demands(), false))
        {
            release(tokens);
        }
    }

    void release(std::int64_t tokens)
    {
        const domain::prepaid_balance balance = ledger.balance("acme");
        const std::int64_t newly_released =
            std::min(tokens, std::max<std::int64_t>(0, balance.free()));
        released += newly_released;
        ledger.set_granted("acme", balance.granted - newly_released);
        client.add_pending_return("acme", newly_released);
    }

    drivers::token_grant_client client;
    domain::prepaid_ledger ledger;
    std::int64_t lacking = 0;
    std::int64_t released = 0;
};

} // namespace

TEST_GROUP(token_grant_client_group)
{
    fakes::manual_clock clock;
    fakes::counting_logger log;
    fake_asynchronous_store store;

    std::int64_t granted_in_all()
    {
        return codecs::read_prepaid_record(
                   store.value("turmericfront/tokens/acme"))
            .value()
            .granted_in_all;
    }
};

TEST(token_grant_client_group, a_grant_whose_response_was_lost_is_read_again)
{
    router one(store, clock, log, "a");
    one.adjust_grants();
    store.serve_next();
    store.serve_next(simulated_outcome::response_lost);
    LONGS_EQUAL(0, one.ledger.balance("acme").granted);
    clock.advance(2s);
    one.adjust_grants();
    store.serve_all();
    LONGS_EQUAL(granted_in_all(), one.ledger.balance("acme").granted);
}

TEST(token_grant_client_group, a_grant_that_is_applied_late_is_counted_once)
{
    router one(store, clock, log, "a");
    one.adjust_grants();
    store.serve_next();
    store.serve_next(simulated_outcome::applied_late);
    clock.advance(2s);
    one.adjust_grants();
    store.serve_next();
    store.apply_late_changes();
    store.serve_all();
    clock.advance(2s);
    one.adjust_grants();
    store.serve_all();
    LONGS_EQUAL(granted_in_all(), one.ledger.balance("acme").granted);
}

TEST(token_grant_client_group, an_overdue_call_reports_the_store_unavailable)
{
    router one(store, clock, log, "a");
    one.adjust_grants();
    const ports::steady_time requested_at = clock.steady_now();
    clock.advance(500ms);
    CHECK_FALSE(one.client.unavailable_since().has_value());
    clock.advance(500ms);
    CHECK(one.client.unavailable_since() == requested_at);
    store.serve_all();
    CHECK_FALSE(one.client.unavailable_since().has_value());
}

TEST(token_grant_client_group, a_failed_call_reports_the_store_unavailable)
{
    router one(store, clock, log, "a");
    one.adjust_grants();
    store.serve_all();
    const ports::steady_time responded_at = clock.steady_now();
    clock.advance(2s);
    one.lacking = 60'000;
    one.adjust_grants();
    store.serve_next(simulated_outcome::failed);
    CHECK(one.client.unavailable_since() == responded_at);
}

TEST(token_grant_client_group, tokens_of_a_failed_router_count_as_spent)
{
    {
        router failed(store, clock, log, "a");
        failed.lacking = 60'000;
        failed.adjust_grants();
        store.serve_all();
        LONGS_EQUAL(60'000, failed.ledger.balance("acme").granted);
    }
    router next(store, clock, log, "b");
    next.lacking = prepaid_total;
    next.adjust_grants();
    store.serve_all();
    LONGS_EQUAL(40'000, next.ledger.balance("acme").granted);
}

TEST(token_grant_client_group, an_uncertain_return_is_not_repeated)
{
    // The response to a return is lost. Before this router reads the record
    // again, another router drops its entry, because it does not have it as a
    // member. The record then does not show whether the return took effect.
    router one(store, clock, log, "stopping");
    router other(store, clock, log, "b");
    for (router* each : {&other, &one})
    {
        each->lacking = 40'000;
        each->adjust_grants();
        store.serve_all();
    }
    one.lacking = 0;
    one.release(30'000);
    one.client.return_tokens([] {});
    store.serve_next(simulated_outcome::response_lost);
    LONGS_EQUAL(50'000, granted_in_all());
    clock.advance(2s);
    other.lacking = 10'000;
    other.adjust_grants();
    // The first pending call is this router's read, followed by the other
    // router's read and change.
    store.serve_next(simulated_outcome::failed);
    store.serve_all();
    LONGS_EQUAL(60'000, granted_in_all());
    clock.advance(2s);
    one.client.return_tokens([] {});
    store.serve_all();
    LONGS_EQUAL(60'000, granted_in_all());
}

TEST(token_grant_client_group, routers_that_stop_together_return_all_tokens)
{
    router one(store, clock, log, "a");
    router two(store, clock, log, "b");
    for (router* each : {&one, &two})
    {
        each->lacking = 20'000;
        each->adjust_grants();
        store.serve_all();
    }
    LONGS_EQUAL(40'000, granted_in_all());
    int done = 0;
    for (router* each : {&one, &two})
    {
        each->release(20'000);
        each->client.return_tokens([&done] { ++done; });
    }
    store.serve_all();
    LONGS_EQUAL(2, done);
    LONGS_EQUAL(0, granted_in_all());
}

TEST(token_grant_client_group,
     spending_stays_within_the_total_under_any_failure)
{
    CHECK(rc::check(
        "the tokens that all routers can spend never exceed the prepaid total",
        []
        {
            fakes::manual_clock clock;
            fakes::counting_logger log;
            fake_asynchronous_store store;
            std::vector<std::unique_ptr<router>> routers;
            std::int64_t spent_by_failed_routers = 0;
            const std::vector<std::string> names = {"a", "b", "c"};
            for (const std::string& name : names)
            {
                routers.push_back(
                    std::make_unique<router>(store, clock, log, name));
            }
            for (int step = 0; step < 60; ++step)
            {
                clock.advance(
                    std::chrono::milliseconds(*rc::gen::inRange(50, 1'500)));
                const std::size_t index = *rc::gen::inRange<std::size_t>(0, 3);
                router& one = *routers[index];
                one.lacking = *rc::gen::inRange<std::int64_t>(0, 20'000);
                one.adjust_grants();
                const std::int64_t wanted =
                    *rc::gen::inRange<std::int64_t>(0, 15'000);
                if (one.ledger.hold("acme", wanted))
                {
                    one.ledger.settle("acme", wanted, wanted);
                }
                if (*rc::gen::inRange(0, 8) == 0)
                {
                    one.release(*rc::gen::inRange<std::int64_t>(0, 9'000));
                }
                while (store.serve_next(
                    *rc::gen::weightedElement<simulated_outcome>(
                        {{6, simulated_outcome::served},
                         {1, simulated_outcome::failed},
                         {1, simulated_outcome::response_lost},
                         {1, simulated_outcome::applied_late}})))
                {
                }
                if (*rc::gen::inRange(0, 3) == 0)
                {
                    store.apply_late_changes();
                }
                if (*rc::gen::inRange(0, 12) == 0)
                {
                    spent_by_failed_routers += one.ledger.balance("acme").used;
                    routers[index] = std::make_unique<router>(
                        store, clock, log, names[index] + std::to_string(step));
                }
                std::int64_t could_spend = spent_by_failed_routers;
                for (const std::unique_ptr<router>& each : routers)
                {
                    const domain::prepaid_balance balance =
                        each->ledger.balance("acme");
                    could_spend += std::max(balance.used, balance.granted);
                }
                RC_ASSERT(could_spend <= prepaid_total);
            }
        }));
}
