#include "libraries/core/result.hpp"

#include <CppUTest/TestHarness.h>

TEST_GROUP(result){};

TEST(result, holds_a_value)
{
    turmeric::result<int> outcome = 7;
    CHECK_TRUE(outcome.has_value());
    LONGS_EQUAL(7, outcome.value());
}

TEST(result, holds_a_failure)
{
    turmeric::result<int> outcome = turmeric::error{
        turmeric::result_code::unknown_route, "route", "no such route"};
    CHECK_FALSE(outcome.has_value());
    STRCMP_EQUAL("route", outcome.failure().field.c_str());
    LONGS_EQUAL(404, turmeric::http_status_of(outcome.failure().code));
}
