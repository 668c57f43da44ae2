#include "libraries/core/result.hpp"

#include <CppUTest/TestHarness.h>

TEST_GROUP(result){};

TEST(result, holds_a_value)
{
    turmeric::result<int> made = 7;
    CHECK_TRUE(made.has_value());
    LONGS_EQUAL(7, made.value());
}

TEST(result, holds_a_failure)
{
    turmeric::result<int> made = turmeric::error{
        turmeric::result_code::unknown_route, "route", "no such route"};
    CHECK_FALSE(made.has_value());
    STRCMP_EQUAL("route", made.failure().field.c_str());
    LONGS_EQUAL(404, turmeric::http_status_of(made.failure().code));
}
