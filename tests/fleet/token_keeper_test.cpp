#include <rapidcheck.h>

#include "libraries/codecs/fleet/prepaid_record_codec.hpp"
#include "libraries/domain/prepaid/prepaid_ledger.hpp"
#include "libraries/drivers/fleet/token_keeper.hpp"
#include "libraries/fakes/recording_logger.hpp"
#include "tests/fleet/store_world.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::tests;
using namespace std::chrono_literals;

namespace
{

constexpr std::int64_t prepaid = 100'000;

/// One router's keeper with the ledger that spends from it.
struct router
{
    router(store_world& store, const fakes::manual_clock& clock, logger& log,
           const std::string& name)
        : keeper(store, clock, log, name)
    {
        keeper.set_prepaid({{"acme", prepaid}});
        keeper.set_members({"a", "b", "c"});
        keeper.on_change([this] { take_grants(); });
    }

    void take_grants()
    {
        for (const auto& [account, known] : keeper.known())
        {
            ledger.set_granted(account, known.ever_granted - released);
        }
    }

    std::map<std::string, drivers::account_token_demand> needs() const
    {
        const domain::prepaid_balance balance = ledger.balance("acme");
        drivers::account_token_demand need;
        need.used = balance.used;
        need.held = balance.held;
        need.free = balance.free();
        need.lacking = lacking;
        return {{"acme", need}};
    }

    void review()
    {
        for (const auto& [account, tokens] : keeper.review(needs(), false))
        {
            release(tokens);
        }
    }

    void release(std::int64_t tokens)
    {
        const domain::prepaid_balance balance = ledger.balance("acme");
        const std::int64_t taken =
            std::min(tokens, std::max<std::int64_t>(0, balance.free()));
        released += taken;
        ledger.set_granted("acme", balance.granted - taken);
        keeper.put_back("acme", taken);
    }

    drivers::token_keeper keeper;
    domain::prepaid_ledger ledger;
    std::int64_t lacking = 0;
    std::int64_t released = 0;
};

} // namespace

TEST_GROUP(token_keeper_group)
{
    fakes::manual_clock clock;
    fakes::recording_logger log;
    store_world store;

    std::int64_t granted_in_all()
    {
        return codecs::read_prepaid_record(
                   store.value("turmericfront/tokens/acme"))
            .value()
            .granted_in_all;
    }
};

TEST(token_keeper_group, a_grant_whose_answer_was_lost_is_found_again)
{
    router one(store, clock, log, "a");
    one.review();
    store.run();
    store.run(call_fate::answer_lost);
    LONGS_EQUAL(0, one.ledger.balance("acme").granted);
    clock.advance(2s);
    one.review();
    store.run_all();
    LONGS_EQUAL(granted_in_all(), one.ledger.balance("acme").granted);
}

TEST(token_keeper_group, a_grant_that_is_made_late_is_spent_once)
{
    router one(store, clock, log, "a");
    one.review();
    store.run();
    store.run(call_fate::done_late);
    clock.advance(2s);
    one.review();
    store.run();
    store.run_late();
    store.run_all();
    clock.advance(2s);
    one.review();
    store.run_all();
    LONGS_EQUAL(granted_in_all(), one.ledger.balance("acme").granted);
}

TEST(token_keeper_group, an_open_call_tells_of_a_silent_store)
{
    router one(store, clock, log, "a");
    one.review();
    const ports::steady_time asked_at = clock.steady_now();
    clock.advance(500ms);
    CHECK_FALSE(one.keeper.silent_since().has_value());
    clock.advance(500ms);
    CHECK(one.keeper.silent_since() == asked_at);
    store.run_all();
    CHECK_FALSE(one.keeper.silent_since().has_value());
}

TEST(token_keeper_group, a_failed_call_tells_of_a_silent_store)
{
    router one(store, clock, log, "a");
    one.review();
    store.run_all();
    const ports::steady_time answered_at = clock.steady_now();
    clock.advance(2s);
    one.lacking = 60'000;
    one.review();
    store.run(call_fate::refused);
    CHECK(one.keeper.silent_since() == answered_at);
}

TEST(token_keeper_group, what_a_dead_router_had_counts_as_spent)
{
    {
        router dead(store, clock, log, "a");
        dead.lacking = 60'000;
        dead.review();
        store.run_all();
        LONGS_EQUAL(60'000, dead.ledger.balance("acme").granted);
    }
    router next(store, clock, log, "b");
    next.lacking = prepaid;
    next.review();
    store.run_all();
    LONGS_EQUAL(40'000, next.ledger.balance("acme").granted);
}

TEST(token_keeper_group, a_return_that_may_have_been_made_is_not_made_twice)
{
    // The answer to a return is lost, and before this router reads again,
    // another one that does not know it as a member drops its entry.
    router one(store, clock, log, "stopping");
    router other(store, clock, log, "b");
    for (router* each : {&other, &one})
    {
        each->lacking = 40'000;
        each->review();
        store.run_all();
    }
    one.lacking = 0;
    one.release(30'000);
    one.keeper.give_back([] {});
    store.run(call_fate::answer_lost);
    LONGS_EQUAL(50'000, granted_in_all());
    clock.advance(2s);
    other.lacking = 10'000;
    other.review();
    // This router's reading comes first, then the other's reading and change.
    store.run(call_fate::refused);
    store.run_all();
    LONGS_EQUAL(60'000, granted_in_all());
    clock.advance(2s);
    one.keeper.give_back([] {});
    store.run_all();
    LONGS_EQUAL(60'000, granted_in_all());
}

TEST(token_keeper_group, routers_that_stop_together_give_all_back)
{
    router one(store, clock, log, "a");
    router two(store, clock, log, "b");
    for (router* each : {&one, &two})
    {
        each->lacking = 20'000;
        each->review();
        store.run_all();
    }
    LONGS_EQUAL(40'000, granted_in_all());
    int done = 0;
    for (router* each : {&one, &two})
    {
        each->release(20'000);
        each->keeper.give_back([&done] { ++done; });
    }
    store.run_all();
    LONGS_EQUAL(2, done);
    LONGS_EQUAL(0, granted_in_all());
}

TEST(token_keeper_group, spending_stays_within_the_total_whatever_fails)
{
    CHECK(rc::check(
        "what all routers can spend never exceeds the prepaid total",
        []
        {
            fakes::manual_clock clock;
            fakes::recording_logger log;
            store_world store;
            std::vector<std::unique_ptr<router>> routers;
            std::int64_t spent_by_dead = 0;
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
                const std::size_t which = *rc::gen::inRange<std::size_t>(0, 3);
                router& one = *routers[which];
                one.lacking = *rc::gen::inRange<std::int64_t>(0, 20'000);
                one.review();
                const std::int64_t wish =
                    *rc::gen::inRange<std::int64_t>(0, 15'000);
                if (one.ledger.hold("acme", wish))
                {
                    one.ledger.settle("acme", wish, wish);
                }
                if (*rc::gen::inRange(0, 8) == 0)
                {
                    one.release(*rc::gen::inRange<std::int64_t>(0, 9'000));
                }
                while (store.run(*rc::gen::weightedElement<call_fate>(
                    {{6, call_fate::served},
                     {1, call_fate::refused},
                     {1, call_fate::answer_lost},
                     {1, call_fate::done_late}})))
                {
                }
                if (*rc::gen::inRange(0, 3) == 0)
                {
                    store.run_late();
                }
                if (*rc::gen::inRange(0, 12) == 0)
                {
                    spent_by_dead += one.ledger.balance("acme").used;
                    routers[which] = std::make_unique<router>(
                        store, clock, log, names[which] + std::to_string(step));
                }
                std::int64_t could_spend = spent_by_dead;
                for (const std::unique_ptr<router>& each : routers)
                {
                    const domain::prepaid_balance balance =
                        each->ledger.balance("acme");
                    could_spend += std::max(balance.used, balance.granted);
                }
                RC_ASSERT(could_spend <= prepaid);
            }
        }));
}
