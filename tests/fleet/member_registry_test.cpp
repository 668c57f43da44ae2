#include "libraries/drivers/fleet/member_registry.hpp"
#include "libraries/fakes/counting_logger.hpp"
#include "tests/fleet/fake_asynchronous_store.hpp"
#include "tests/fleet/manual_timer_queue.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::tests;
using namespace std::chrono_literals;

TEST_GROUP(member_registry_group)
{
    fakes::manual_clock clock;
    fakes::counting_logger log;
    fake_asynchronous_store store;
    manual_timer_queue timers{clock};

    drivers::fleet_member member(const std::string& name)
    {
        return {name, name, "east", name, name};
    }

    bool is_registered(const std::string& name)
    {
        return store.items("turmericfront/members/" + name).size() == 1;
    }

    static void ignore(const std::vector<drivers::fleet_member>&) {}
};

// Guards against a router that renews a lease whose number a restored store has
// given to another router, and so stays unregistered for good.
TEST(member_registry_group, a_restored_store_gets_all_registrations_again)
{
    store.begin_era();
    store.take_copy();
    drivers::member_registry one(store, timers, clock, log, member("one"));
    one.start(&ignore);
    store.serve_all();
    CHECK(is_registered("one"));
    store.restore_copy();
    CHECK_FALSE(is_registered("one"));
    drivers::member_registry two(store, timers, clock, log, member("two"));
    two.start(&ignore);
    store.serve_all();
    timers.advance(2s);
    store.serve_all();
    CHECK(is_registered("one"));
    CHECK(is_registered("two"));
}

TEST(member_registry_group, a_lease_of_an_earlier_era_is_not_ended)
{
    store.begin_era();
    store.take_copy();
    drivers::member_registry one(store, timers, clock, log, member("one"));
    one.start(&ignore);
    store.serve_all();
    store.restore_copy();
    one.leave();
    // The list of the routers and the lease of the new registration.
    LONGS_EQUAL(2, store.pending_call_count());
}
