#include "tests/fleet/two_routers.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric::tests;
using namespace std::chrono_literals;

// Guards against requests held past their timeout by callers that stay at a
// router whose link they fill, since it goes on saying that it is ready.
TEST_GROUP(overloaded_readiness_group)
{
    two_routers fleet;
};

TEST(overloaded_readiness_group, an_overloaded_router_is_not_ready)
{
    CHECK(fleet.one.control.is_ready());
    fleet.one.traffic.is_overloaded = true;
    fleet.advance(400ms);
    CHECK_FALSE(fleet.one.control.is_ready());
    CHECK(fleet.two.control.is_ready());
    fleet.one.traffic.is_overloaded = false;
    fleet.advance(400ms);
    CHECK(fleet.one.control.is_ready());
}

TEST(overloaded_readiness_group, overloaded_routers_without_others_stay_ready)
{
    fleet.one.traffic.is_overloaded = true;
    fleet.two.traffic.is_overloaded = true;
    fleet.advance(400ms);
    CHECK(fleet.one.control.is_ready());
    CHECK(fleet.two.control.is_ready());
}
