#include "libraries/domain/prepaid/account_holders.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric::domain;

namespace
{

std::set<std::string> make_routers(int count)
{
    std::set<std::string> routers;
    for (int number = 0; number < count; ++number)
    {
        routers.insert("router-" + std::to_string(number));
    }
    return routers;
}

std::string account_name(int number)
{
    return "account-" + std::to_string(number);
}

} // namespace

TEST_GROUP(account_holders_group)
{
    account_holders holders;
};

TEST(account_holders_group, each_router_of_a_small_fleet_holds_all_accounts)
{
    const std::set<std::string> routers = make_routers(6);
    holders.set_routers(routers);
    for (const std::string& router : routers)
    {
        CHECK(holders.is_holder("acme", router));
    }
}

TEST(account_holders_group, the_writers_of_a_record_do_not_grow_with_the_fleet)
{
    for (const int routers : {8, 87, 330})
    {
        holders.set_routers(make_routers(routers));
        const std::vector<std::string>& listed = holders.list("acme");
        const std::set<std::string> distinct(listed.begin(), listed.end());
        LONGS_EQUAL(max_account_holders, distinct.size());
    }
}

TEST(account_holders_group, the_accounts_are_spread_over_the_routers)
{
    constexpr int routers = 40;
    constexpr int accounts = 1'000;
    holders.set_routers(make_routers(routers));
    std::map<std::string, int> held;
    for (int number = 0; number < accounts; ++number)
    {
        for (const std::string& router : holders.list(account_name(number)))
        {
            ++held[router];
        }
    }
    constexpr int mean =
        accounts * static_cast<int>(max_account_holders) / routers;
    LONGS_EQUAL(routers, held.size());
    for (const auto& [router, count] : held)
    {
        CHECK(count > mean / 2 && count < mean * 2);
    }
}

TEST(account_holders_group, the_loss_of_a_router_moves_only_its_own_accounts)
{
    account_holders after;
    const std::string lost = "router-3";
    std::set<std::string> routers = make_routers(40);
    holders.set_routers(routers);
    routers.erase(lost);
    after.set_routers(routers);
    for (int number = 0; number < 200; ++number)
    {
        const std::string account = account_name(number);
        for (const std::string& router : holders.list(account))
        {
            CHECK(router == lost || after.is_holder(account, router));
        }
    }
}
