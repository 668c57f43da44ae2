#include "libraries/domain/budget/reclaim_rule.hpp"
#include "libraries/domain/budget/shard_changes.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::domain;
using std::chrono::seconds;

namespace
{

const sys_seconds start{seconds(1'000'000)};

/// Grants only the needs of waiting requests, nothing in advance.
class exact_policy final : public grant_policy
{
public:
    [[nodiscard]] tokens target(const grant_policy_input&) const override
    {
        return 0;
    }

    [[nodiscard]] tokens reserve(const grant_policy_input&) const override
    {
        return 0;
    }
};

} // namespace

TEST_GROUP(shard)
{
    budget_shard stored_shard;
    shard_limits limits;
    exact_policy policy;

    void setup() override
    {
        CHECK_TRUE(add_top_up("first", 1000).has_value());
    }

    result<change> add_top_up(const std::string& id, tokens amount)
    {
        return apply_top_up(stored_shard, {"acme", "main", id, amount}, start,
                            limits);
    }

    router_batch batch(std::int64_t operation, std::vector<tokens> needs,
                       const std::string& name = "r1") const
    {
        router_batch made;
        made.incarnation = name;
        made.operation = operation;
        made.term_end = start + seconds(3600);
        made.updates.push_back({"acme/main", std::move(needs), 0, 0});
        return made;
    }

    static pending_bill bill(std::uint64_t key, tokens used)
    {
        return {"acme/main", key, 7, used, start, false};
    }

    batch_reply commit(const router_batch& sent, sys_seconds now = start)
    {
        batch_reply reply =
            apply_batch(stored_shard, sent, now, limits, policy);
        CHECK_TRUE(is_consistent(stored_shard));
        return reply;
    }

    tokens settled()
    {
        return settled_of(stored_shard.budgets.at("acme/main"));
    }

    tokens pool()
    {
        return pool_of(stored_shard.budgets.at("acme/main"));
    }

    bill_state bill_once(std::int64_t operation, const pending_bill& added,
                         sys_seconds now = start,
                         const std::string& name = "r1")
    {
        router_batch sent = batch(operation, {}, name);
        sent.bills.push_back(added);
        return commit(sent, now).bills.at(0).state;
    }
};

TEST(shard, applies_a_top_up_once)
{
    CHECK_TRUE(add_top_up("first", 1000).value() == change::none);
    LONGS_EQUAL(1000, pool());
    CHECK_TRUE(add_top_up("first", 999).failure().code ==
               result_code::top_up_reused);
    CHECK_TRUE(add_top_up("second", 0).failure().code ==
               result_code::amount_overflow);
    CHECK_TRUE(add_top_up("third", 5).value() == change::made);
    LONGS_EQUAL(1005, pool());
}

TEST(shard, enforces_the_limits_on_top_ups)
{
    limits.top_ups_per_budget = 2;
    CHECK_TRUE(add_top_up("second", 5).has_value());
    CHECK_TRUE(add_top_up("third", 5).failure().code ==
               result_code::ledger_full);
    limits.top_ups_per_budget = 3;
    limits.top_ups = 2;
    CHECK_TRUE(add_top_up("third", 5).failure().code ==
               result_code::ledger_full);
}

TEST(shard, grants_each_need_in_full_or_not_at_all)
{
    const batch_reply reply = commit(batch(1, {600, 600, 300}));
    LONGS_EQUAL(900, reply.snapshots.at(0).outstanding);
    LONGS_EQUAL(100, pool());
    CHECK_TRUE(reply.snapshots.at(0).is_recalled);
}

TEST(shard, applies_a_repeated_batch_once)
{
    commit(batch(1, {600}));
    CHECK_TRUE(bill_once(2, bill(5, 100)) == bill_state::billed);
    CHECK_TRUE(bill_once(2, bill(5, 100)) == bill_state::billed);
    LONGS_EQUAL(100, settled());
    CHECK_TRUE(commit(batch(1, {600})).state == batch_state::stale);
    LONGS_EQUAL(400, pool());
}

TEST(shard, charges_a_repeated_request_once)
{
    commit(batch(1, {600}));
    commit(batch(1, {300}, "r2"));
    CHECK_TRUE(bill_once(2, bill(5, 100)) == bill_state::billed);
    CHECK_TRUE(bill_once(2, bill(5, 90),
                         start + limits.max_undelivered_bill_age,
                         "r2") == bill_state::duplicate);
    pending_bill other_body = bill(5, 90);
    other_body.body_digest = 8;
    CHECK_TRUE(bill_once(3, other_body, start, "r2") == bill_state::reused);
    LONGS_EQUAL(100, settled());
}

TEST(shard, does_not_charge_a_late_undelivered_bill)
{
    commit(batch(1, {600}));
    const sys_seconds late =
        start + limits.max_undelivered_bill_age + seconds(1);
    CHECK_TRUE(bill_once(2, bill(5, 100), late) == bill_state::expired);
    pending_bill delivered = bill(6, 100);
    delivered.is_delivered = true;
    CHECK_TRUE(bill_once(3, delivered, late) == bill_state::billed);
    LONGS_EQUAL(100, settled());
}

TEST(shard, refuses_a_bill_over_the_grant)
{
    commit(batch(1, {100}));
    CHECK_TRUE(bill_once(2, bill(5, 101)) == bill_state::refused);
    CHECK_TRUE(bill_once(3, bill(6, -1)) == bill_state::refused);
    LONGS_EQUAL(0, settled());
}

TEST(shard, settles_late_bills_of_a_frozen_incarnation_until_it_is_closed)
{
    commit(batch(1, {600}));
    CHECK_TRUE(close_incarnation(stored_shard, "r1", start, seconds(10)) ==
               change::none);
    CHECK_TRUE(freeze_incarnation(stored_shard, "r1", start) == change::made);
    CHECK_TRUE(bill_once(2, bill(5, 100)) == bill_state::billed);
    const batch_reply more = commit(batch(3, {100}));
    CHECK_TRUE(more.is_frozen);
    LONGS_EQUAL(500, more.snapshots.at(0).outstanding);
    CHECK_TRUE(close_incarnation(stored_shard, "r1", start + seconds(9),
                                 seconds(10)) == change::none);
    CHECK_TRUE(close_incarnation(stored_shard, "r1", start + seconds(10),
                                 seconds(10)) == change::made);
    LONGS_EQUAL(900, pool());
    CHECK_TRUE(bill_once(4, bill(6, 100)) == bill_state::refused);
    CHECK_TRUE(commit(batch(4, {10})).state == batch_state::closed);
    LONGS_EQUAL(100, settled());
}

TEST(shard, refuses_bills_of_a_closed_incarnation_after_a_late_first_batch)
{
    commit(batch(1, {600}));
    CHECK_TRUE(freeze_incarnation(stored_shard, "r1", start) == change::made);
    CHECK_TRUE(close_incarnation(stored_shard, "r1", start, seconds(0)) ==
               change::made);
    commit(batch(1, {600}));
    router_batch next = batch(3, {});
    next.bills.push_back(bill(5, 100));
    CHECK_TRUE(commit(next).state == batch_state::closed);
    LONGS_EQUAL(0, settled());
}

TEST(shard, enforces_its_limits)
{
    limits.incarnations = 1;
    limits.bills = 1;
    commit(batch(1, {600}));
    CHECK_TRUE(commit(batch(1, {1}, "r2")).state == batch_state::full);
    CHECK_TRUE(bill_once(2, bill(5, 1)) == bill_state::billed);
    router_batch next = batch(3, {});
    next.bills.push_back(bill(6, 1));
    CHECK_TRUE(commit(next).state == batch_state::full);
    LONGS_EQUAL(2, stored_shard.incarnations.at(0).last_operation);
}

TEST(shard, reclaims_only_with_evidence_or_after_the_term)
{
    const reclaim_settings settings;
    incarnation_record record;
    record.term_end = start + seconds(100);
    CHECK_TRUE(next_reclaim_step(record, {true, true, true}, start, settings) ==
               reclaim_step::keep);
    CHECK_TRUE(next_reclaim_step(record, {false, false, false}, start,
                                 settings) == reclaim_step::keep);
    CHECK_TRUE(next_reclaim_step(record, {false, true, false}, start,
                                 settings) == reclaim_step::freeze);
    CHECK_TRUE(next_reclaim_step(record, {false, false, true}, start,
                                 settings) == reclaim_step::freeze);
    const sys_seconds over = record.term_end + settings.clock_skew + seconds(1);
    CHECK_TRUE(next_reclaim_step(record, {true, false, false}, over,
                                 settings) == reclaim_step::freeze);
    record.state = grant_state::frozen;
    record.frozen_at = start;
    CHECK_TRUE(next_reclaim_step(record, {false, true, false}, start,
                                 settings) == reclaim_step::keep);
    CHECK_TRUE(next_reclaim_step(record, {false, true, false},
                                 start + settings.freeze_time,
                                 settings) == reclaim_step::close);
}
