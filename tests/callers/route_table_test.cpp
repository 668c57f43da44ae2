#include "libraries/domain/callers/route_table.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric::domain;

namespace
{

route_declarations declarations()
{
    route_declarations declared;
    declared.version = 7;
    for (const char* prefix : {"/a/", "/a/b/", "/c/"})
    {
        caller_route route;
        route.name = prefix;
        route.host = "shop.example";
        route.prefix = prefix;
        route.services.push_back({"s", 1});
        declared.routes.push_back(route);
    }
    declared.accounts.push_back({"acme", {"k1", "k2"}, std::nullopt, 100});
    declared.services.push_back({"s", 8, std::nullopt});
    return declared;
}

} // namespace

TEST_GROUP(route_table_group)
{
    route_table table{declarations()};
};

TEST(route_table_group, longest_prefix_wins)
{
    STRCMP_EQUAL("/a/b/",
                 table.find_route("shop.example", "/a/b/x")->name.c_str());
    STRCMP_EQUAL("/a/",
                 table.find_route("shop.example", "/a/x/y")->name.c_str());
    STRCMP_EQUAL("/a/", table.find_route("shop.example", "/a/")->name.c_str());
}

TEST(route_table_group, other_hosts_and_paths_have_no_route)
{
    POINTERS_EQUAL(nullptr, table.find_route("other.example", "/a/x"));
    POINTERS_EQUAL(nullptr, table.find_route("shop.example", "/a"));
    POINTERS_EQUAL(nullptr, table.find_route("shop.example", "/ab/x"));
    POINTERS_EQUAL(nullptr, table.find_route("shop.example", ""));
}

TEST(route_table_group, each_key_finds_its_account)
{
    STRCMP_EQUAL("acme", table.find_account("k2")->name.c_str());
    POINTERS_EQUAL(nullptr, table.find_account("k3"));
    POINTERS_EQUAL(nullptr, table.find_account(""));
    CHECK(table.has_accounts());
}

TEST(route_table_group, only_idempotent_and_resumable_routes_are_repeatable)
{
    caller_route route;
    route.kind = request_kind::at_most_once;
    route.is_resumable = true;
    CHECK_FALSE(route.is_repeatable());
    route.kind = request_kind::streaming;
    CHECK(route.is_repeatable());
    route.is_resumable = false;
    CHECK_FALSE(route.is_repeatable());
    route.kind = request_kind::idempotent;
    CHECK(route.is_repeatable());
}
