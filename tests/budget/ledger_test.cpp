#include "libraries/domain/budget/router_ledger.hpp"
#include "libraries/domain/budget/shard_changes.hpp"
#include "libraries/fakes/manual_clock.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::domain;
using std::chrono::seconds;

TEST_GROUP(ledger)
{
    fakes::manual_clock clock;
    rate_share_policy policy{rate_share_settings{}};
    router_ledger_settings settings;
    shard_limits limits;
    budget_shard stored_shard;
    std::unique_ptr<router_ledger> ledger;

    void setup() override
    {
        settings.shard_count = 1;
        settings.waiting_per_budget = 2;
        ledger = std::make_unique<router_ledger>(settings, "r1", policy);
        CHECK_TRUE(apply_top_up(stored_shard, {"acme", "main", "t", 10'000},
                                date(), limits)
                       .has_value());
    }

    void teardown() override
    {
        ledger.reset();
    }

    ledger_time now() const
    {
        return {clock.steady_now(), clock.system_now()};
    }

    sys_seconds date() const
    {
        return std::chrono::time_point_cast<seconds>(clock.system_now());
    }

    result<hold_id> place_hold(const std::string& id, tokens bound,
                               std::uint32_t body = 7)
    {
        return ledger->place_hold({"acme", "main", id, body, bound}, now());
    }

    std::vector<bill_receipt> commit()
    {
        const std::optional<router_batch> batch = ledger->next_batch(0, now());
        CHECK_TRUE(batch.has_value());
        const batch_reply reply =
            apply_batch(stored_shard, *batch, date(), limits, policy);
        clock.advance(std::chrono::milliseconds(1));
        return ledger->on_reply(0, reply);
    }

    result_code code_of(const result<hold_id>& placed)
    {
        CHECK_FALSE(placed.has_value());
        return placed.failure().code;
    }

    hold_id get_hold(const std::string& id, tokens bound)
    {
        CHECK_TRUE(code_of(place_hold(id, bound)) ==
                   result_code::grant_unavailable);
        commit();
        result<hold_id> placed = place_hold(id, bound);
        CHECK_TRUE(placed.has_value());
        return placed.value();
    }
};

TEST(ledger, waits_for_a_grant_then_holds_and_bills)
{
    const hold_id held = get_hold("a", 100);
    CHECK_TRUE(ledger->settle(held, 40, now()).has_value());
    const std::vector<bill_receipt> receipts = commit();
    LONGS_EQUAL(1, receipts.size());
    LONGS_EQUAL(40, receipts[0].billed);
    CHECK_TRUE(receipts[0].state == bill_state::billed);
}

TEST(ledger, bills_no_more_than_the_hold)
{
    const hold_id held = get_hold("a", 100);
    LONGS_EQUAL(100, ledger->settle(held, 140, now()).value().used);
}

TEST(ledger, distinguishes_duplicates_from_reused_request_ids)
{
    get_hold("a", 100);
    CHECK_TRUE(code_of(place_hold("a", 100)) == result_code::duplicate_request);
    CHECK_TRUE(code_of(place_hold("a", 100, 8)) ==
               result_code::request_id_reused);
}

TEST(ledger, reports_exhaustion_only_from_a_recent_snapshot)
{
    CHECK_TRUE(code_of(place_hold("a", 20'000)) ==
               result_code::grant_unavailable);
    commit();
    CHECK_TRUE(code_of(place_hold("a", 20'000)) ==
               result_code::budget_exhausted);
    CHECK_TRUE(code_of(place_hold("b", 20'000)) ==
               result_code::budget_exhausted);
    clock.advance(settings.max_snapshot_age + seconds(1));
    CHECK_TRUE(code_of(place_hold("b", 20'000)) ==
               result_code::grant_unavailable);
}

TEST(ledger, enforces_its_limits)
{
    CHECK_TRUE(code_of(place_hold("a", 100)) == result_code::grant_unavailable);
    CHECK_TRUE(code_of(place_hold("b", 100)) == result_code::grant_unavailable);
    CHECK_TRUE(code_of(place_hold("c", 100)) == result_code::ledger_full);
    CHECK_TRUE(code_of(place_hold("d", -1)) == result_code::amount_overflow);
}

TEST(ledger, places_no_hold_after_the_grant_term)
{
    ledger->release(get_hold("a", 100));
    CHECK_TRUE(place_hold("b", 50).has_value());
    clock.advance(settings.grant_term);
    CHECK_TRUE(code_of(place_hold("c", 50)) == result_code::grant_expired);
    commit();
    CHECK_TRUE(place_hold("c", 50).has_value());
}

TEST(ledger, spends_nothing_after_being_closed)
{
    const hold_id held = get_hold("a", 100);
    CHECK_TRUE(freeze_incarnation(stored_shard, "r1", date()) == change::made);
    CHECK_TRUE(close_incarnation(stored_shard, "r1", date(), seconds(0)) ==
               change::made);
    CHECK_TRUE(ledger->settle(held, 40, now()).has_value());
    CHECK_TRUE(commit().at(0).state == bill_state::refused);
    CHECK_TRUE(ledger->is_fenced());
    CHECK_TRUE(code_of(place_hold("b", 1)) == result_code::grant_expired);
    LONGS_EQUAL(0, settled_of(stored_shard.budgets.at("acme/main")));
}

TEST(ledger, repeats_the_batch_until_its_outcome_is_known)
{
    const hold_id held = get_hold("a", 100);
    CHECK_TRUE(ledger->settle(held, 40, now()).has_value());
    const std::optional<router_batch> sent = ledger->next_batch(0, now());
    CHECK_FALSE(ledger->next_batch(0, now()).has_value());
    ledger->on_unresolved(0);
    const std::optional<router_batch> again = ledger->next_batch(0, now());
    LONGS_EQUAL(sent->operation, again->operation);
    LONGS_EQUAL(sent->bills.at(0).key, again->bills.at(0).key);
}

TEST(ledger, repeats_a_batch_with_a_new_term_end)
{
    CHECK_TRUE(code_of(place_hold("a", 100)) == result_code::grant_unavailable);
    CHECK_TRUE(ledger->next_batch(0, now()).has_value());
    ledger->on_unresolved(0);
    clock.advance(2 * settings.grant_term);
    commit();
    CHECK_FALSE(ledger->is_fenced());
    LONGS_EQUAL(1, stored_shard.incarnations.size());
}

TEST(ledger, returns_all_free_tokens_while_a_need_is_unmet)
{
    ledger->release(get_hold("a", 100));
    clock.advance(settings.max_snapshot_age + seconds(1));
    CHECK_TRUE(code_of(place_hold("b", 20'000)) ==
               result_code::grant_unavailable);
    commit();
    commit();
    LONGS_EQUAL(0, outstanding_of(stored_shard.budgets.at("acme/main")));
    LONGS_EQUAL(10'000, pool_of(stored_shard.budgets.at("acme/main")));
}

TEST(ledger, returns_all_tokens_when_drained)
{
    const hold_id held = get_hold("a", 100);
    ledger->start_drain();
    CHECK_TRUE(code_of(place_hold("b", 1)) == result_code::router_stopping);
    CHECK_TRUE(ledger->settle(held, 40, now()).has_value());
    commit();
    CHECK_FALSE(ledger->is_drained());
    commit();
    CHECK_TRUE(ledger->is_drained());
    LONGS_EQUAL(9'960, pool_of(stored_shard.budgets.at("acme/main")));
    LONGS_EQUAL(0, stored_shard.incarnations.size());
}

TEST(ledger, keeps_a_bill_while_the_shard_is_full)
{
    const hold_id held = get_hold("a", 100);
    limits.bills = 0;
    CHECK_TRUE(ledger->settle(held, 40, now()).has_value());
    LONGS_EQUAL(0, commit().size());
    limits.bills = 10;
    CHECK_TRUE(commit().at(0).state == bill_state::billed);
}
