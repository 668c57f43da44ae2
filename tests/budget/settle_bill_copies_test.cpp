#include "libraries/domain/budget/settle_bill_copies.hpp"

#include <CppUTest/TestHarness.h>

using turmeric::domain::budget_account;
using turmeric::domain::budget_shard;
using turmeric::domain::change;
using turmeric::domain::pending_bill;
using turmeric::domain::settle_bill_copies;
using turmeric::domain::sys_seconds;

namespace
{

constexpr sys_seconds now{std::chrono::seconds(1000)};

budget_shard shard_with_grant(std::int64_t granted)
{
    budget_shard shard;
    shard.incarnations.push_back({"dead", 1, 1, now, {}, {}});
    budget_account& account = shard.budgets["family/main"];
    account.top_ups.push_back({"t", 100, now});
    account.grants.push_back({1, granted, 0, 0});
    return shard;
}

pending_bill bill(std::uint64_t key, std::int64_t used)
{
    pending_bill made;
    made.budget = "family/main";
    made.key = key;
    made.used = used;
    return made;
}

} // namespace

TEST_GROUP(settle_bill_copies){};

TEST(settle_bill_copies, settles_each_bill_once_when_several_peers_settle_it)
{
    budget_shard shard = shard_with_grant(50);
    CHECK(settle_bill_copies(shard, "dead", {bill(7, 20), bill(7, 20)}, now) ==
          change::made);
    CHECK(settle_bill_copies(shard, "dead", {bill(7, 20)}, now) ==
          change::none);
    LONGS_EQUAL(20, settled_of(shard.budgets["family/main"]));
    CHECK_TRUE(is_consistent(shard));
}

TEST(settle_bill_copies, never_settles_more_than_was_granted)
{
    budget_shard shard = shard_with_grant(30);
    CHECK(settle_bill_copies(shard, "dead", {bill(1, 20), bill(2, 20)}, now) ==
          change::made);
    LONGS_EQUAL(20, settled_of(shard.budgets["family/main"]));
    CHECK_TRUE(is_consistent(shard));
}

TEST(settle_bill_copies, changes_nothing_for_a_closed_incarnation)
{
    budget_shard shard = shard_with_grant(30);
    CHECK(settle_bill_copies(shard, "other", {bill(1, 20)}, now) ==
          change::none);
    CHECK(settle_bill_copies(shard, "dead", {bill(1, -5)}, now) ==
          change::none);
}
