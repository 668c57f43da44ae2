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
    budget_shard value;
    std::unique_ptr<router_ledger> book;

    void setup() override
    {
        settings.shard_count = 1;
        settings.waiting_per_budget = 2;
        book = std::make_unique<router_ledger>(settings, "r1", policy);
        CHECK_TRUE(
            apply_top_up(value, {"acme", "main", "t", 10'000}, date(), limits)
                .has_value());
    }

    void teardown() override
    {
        book.reset();
    }

    ledger_time now() const
    {
        return {clock.steady_now(), clock.system_now()};
    }

    sys_seconds date() const
    {
        return std::chrono::time_point_cast<seconds>(clock.system_now());
    }

    result<hold_id> place(const std::string& id, tokens bound,
                          std::uint32_t body = 7)
    {
        return book->place_hold({"acme", "main", id, body, bound}, now());
    }

    std::vector<bill_receipt> commit()
    {
        const std::optional<router_batch> batch = book->plan(0, now());
        CHECK_TRUE(batch.has_value());
        const batch_reply reply =
            apply_commit(value, *batch, date(), limits, policy);
        clock.advance(std::chrono::milliseconds(1));
        return book->on_reply(0, reply);
    }

    result_code code_of(const result<hold_id>& placed)
    {
        CHECK_FALSE(placed.has_value());
        return placed.failure().code;
    }

    hold_id get(const std::string& id, tokens bound)
    {
        CHECK_TRUE(code_of(place(id, bound)) == result_code::grant_unavailable);
        commit();
        result<hold_id> placed = place(id, bound);
        CHECK_TRUE(placed.has_value());
        return placed.value();
    }
};

TEST(ledger, waits_for_a_grant_then_holds_and_bills)
{
    const hold_id held = get("a", 100);
    CHECK_TRUE(book->settle(held, 40, now()).has_value());
    const std::vector<bill_receipt> receipts = commit();
    LONGS_EQUAL(1, receipts.size());
    LONGS_EQUAL(40, receipts[0].billed);
    CHECK_TRUE(receipts[0].state == bill_state::billed);
}

TEST(ledger, bills_no_more_than_the_hold)
{
    const hold_id held = get("a", 100);
    LONGS_EQUAL(100, book->settle(held, 140, now()).value().used);
}

TEST(ledger, tells_repeats_in_flight_apart)
{
    get("a", 100);
    CHECK_TRUE(code_of(place("a", 100)) == result_code::duplicate_request);
    CHECK_TRUE(code_of(place("a", 100, 8)) == result_code::request_id_reused);
}

TEST(ledger, refuses_at_once_only_on_a_fresh_reading)
{
    CHECK_TRUE(code_of(place("a", 20'000)) == result_code::grant_unavailable);
    commit();
    CHECK_TRUE(code_of(place("a", 20'000)) == result_code::budget_exhausted);
    CHECK_TRUE(code_of(place("b", 20'000)) == result_code::budget_exhausted);
    clock.advance(settings.exhausted_age + seconds(1));
    CHECK_TRUE(code_of(place("b", 20'000)) == result_code::grant_unavailable);
}

TEST(ledger, is_bounded)
{
    CHECK_TRUE(code_of(place("a", 100)) == result_code::grant_unavailable);
    CHECK_TRUE(code_of(place("b", 100)) == result_code::grant_unavailable);
    CHECK_TRUE(code_of(place("c", 100)) == result_code::ledger_full);
    CHECK_TRUE(code_of(place("d", -1)) == result_code::amount_overflow);
}

TEST(ledger, spends_nothing_past_its_term)
{
    book->release(get("a", 100));
    CHECK_TRUE(place("b", 50).has_value());
    clock.advance(settings.grant_term);
    CHECK_TRUE(code_of(place("c", 50)) == result_code::grant_expired);
    commit();
    CHECK_TRUE(place("c", 50).has_value());
}

TEST(ledger, spends_nothing_after_its_close)
{
    const hold_id held = get("a", 100);
    CHECK_TRUE(freeze_incarnation(value, "r1", date()) == change::made);
    CHECK_TRUE(close_incarnation(value, "r1", date(), seconds(0)) ==
               change::made);
    CHECK_TRUE(book->settle(held, 40, now()).has_value());
    CHECK_TRUE(commit().at(0).state == bill_state::refused);
    CHECK_TRUE(book->is_fenced());
    CHECK_TRUE(code_of(place("b", 1)) == result_code::grant_expired);
    LONGS_EQUAL(0, settled_of(value.budgets.at("acme/main")));
}

TEST(ledger, plans_the_same_batch_until_its_outcome_is_known)
{
    const hold_id held = get("a", 100);
    CHECK_TRUE(book->settle(held, 40, now()).has_value());
    const std::optional<router_batch> sent = book->plan(0, now());
    CHECK_FALSE(book->plan(0, now()).has_value());
    book->on_unresolved(0);
    const std::optional<router_batch> again = book->plan(0, now());
    LONGS_EQUAL(sent->operation, again->operation);
    LONGS_EQUAL(sent->bills.at(0).key, again->bills.at(0).key);
}

TEST(ledger, sends_a_batch_again_with_a_term_that_is_not_over)
{
    CHECK_TRUE(code_of(place("a", 100)) == result_code::grant_unavailable);
    CHECK_TRUE(book->plan(0, now()).has_value());
    book->on_unresolved(0);
    clock.advance(2 * settings.grant_term);
    commit();
    CHECK_FALSE(book->is_fenced());
    LONGS_EQUAL(1, value.incarnations.size());
}

TEST(ledger, keeps_no_part_of_a_grant_while_a_need_is_unmet)
{
    book->release(get("a", 100));
    clock.advance(settings.exhausted_age + seconds(1));
    CHECK_TRUE(code_of(place("b", 20'000)) == result_code::grant_unavailable);
    commit();
    commit();
    LONGS_EQUAL(0, outstanding_of(value.budgets.at("acme/main")));
    LONGS_EQUAL(10'000, pool_of(value.budgets.at("acme/main")));
}

TEST(ledger, gives_everything_back_when_it_drains)
{
    const hold_id held = get("a", 100);
    book->start_drain();
    CHECK_TRUE(code_of(place("b", 1)) == result_code::router_stopping);
    CHECK_TRUE(book->settle(held, 40, now()).has_value());
    commit();
    CHECK_FALSE(book->is_drained());
    commit();
    CHECK_TRUE(book->is_drained());
    LONGS_EQUAL(9'960, pool_of(value.budgets.at("acme/main")));
    LONGS_EQUAL(0, value.incarnations.size());
}

TEST(ledger, keeps_a_bill_for_a_shard_that_is_full)
{
    const hold_id held = get("a", 100);
    limits.bills = 0;
    CHECK_TRUE(book->settle(held, 40, now()).has_value());
    LONGS_EQUAL(0, commit().size());
    limits.bills = 10;
    CHECK_TRUE(commit().at(0).state == bill_state::billed);
}
