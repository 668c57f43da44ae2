#include "libraries/domain/budget/settle_copies.hpp"

#include <CppUTest/TestHarness.h>

using turmeric::domain::bill_line;
using turmeric::domain::budget_account;
using turmeric::domain::budget_shard;
using turmeric::domain::change;
using turmeric::domain::settle_copies;
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

bill_line bill(std::uint64_t key, std::int64_t used)
{
    bill_line line;
    line.budget = "family/main";
    line.key = key;
    line.used = used;
    return line;
}

} // namespace

TEST_GROUP(settle_copies){};

TEST(settle_copies, settles_each_bill_once_however_many_peers_do_so)
{
    budget_shard shard = shard_with_grant(50);
    CHECK(settle_copies(shard, "dead", {bill(7, 20), bill(7, 20)}, now) ==
          change::made);
    CHECK(settle_copies(shard, "dead", {bill(7, 20)}, now) == change::none);
    LONGS_EQUAL(20, settled_of(shard.budgets["family/main"]));
    CHECK_TRUE(is_sound(shard));
}

TEST(settle_copies, never_settles_more_than_was_granted)
{
    budget_shard shard = shard_with_grant(30);
    CHECK(settle_copies(shard, "dead", {bill(1, 20), bill(2, 20)}, now) ==
          change::made);
    LONGS_EQUAL(20, settled_of(shard.budgets["family/main"]));
    CHECK_TRUE(is_sound(shard));
}

TEST(settle_copies, changes_nothing_for_a_closed_incarnation)
{
    budget_shard shard = shard_with_grant(30);
    CHECK(settle_copies(shard, "other", {bill(1, 20)}, now) == change::none);
    CHECK(settle_copies(shard, "dead", {bill(1, -5)}, now) == change::none);
}
