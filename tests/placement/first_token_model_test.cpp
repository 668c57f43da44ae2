#include "libraries/domain/placement/first_token_model.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric::domain;
using namespace std::chrono_literals;

TEST_GROUP(first_token_model_group){};

TEST(first_token_model_group, predicts_linearly_growing_times)
{
    first_token_model model;
    CHECK_FALSE(model.is_ready());
    for (int step = 0; step < 100; ++step)
    {
        const double work = 100.0 * (step % 10);
        model.add_observation(work,
                              60ms + std::chrono::milliseconds(step % 10));
    }
    CHECK(model.is_ready());
    CHECK(model.predict(0) >= 59ms && model.predict(0) <= 61ms);
    CHECK(model.predict(2'000) >= 79ms && model.predict(2'000) <= 81ms);
}

TEST(first_token_model_group,
     predicts_the_mean_time_if_all_work_was_of_one_size)
{
    first_token_model model;
    for (int step = 0; step < 20; ++step)
    {
        model.add_observation(500, 100ms);
    }
    LONGS_EQUAL(100, model.predict(5'000).count());
}
