#include <rapidcheck.h>

#include "libraries/domain/retry/retry_rate_limiter.hpp"

#include <deque>

#include <CppUTest/TestHarness.h>

using namespace turmeric::domain;
using namespace std::chrono_literals;

TEST_GROUP(retry_rate_limiter_group){};

TEST(retry_rate_limiter_group, no_window_holds_more_retries_than_the_bound)
{
    CHECK(rc::check(
        "retries of all routers stay within ratio and slack",
        []
        {
            const retry_rate_limits limits{0.2, 52, 10'000ms};
            constexpr std::size_t routers = 6;
            std::vector<retry_rate_limiter> limiters(
                routers, retry_rate_limiter(limits));
            for (retry_rate_limiter& limiter : limiters)
            {
                limiter.set_routers(routers);
            }
            turmeric::ports::steady_time now{1h};
            std::deque<turmeric::ports::steady_time> retries;
            std::deque<turmeric::ports::steady_time> requests;
            for (int step = 0; step < 400; ++step)
            {
                now += std::chrono::milliseconds(*rc::gen::inRange(1, 120));
                retry_rate_limiter& limiter =
                    limiters[*rc::gen::inRange<std::size_t>(0, routers)];
                limiter.record_request("s", now);
                requests.push_back(now);
                if (limiter.try_acquire("s", now))
                {
                    retries.push_back(now);
                }
                while (!retries.empty() && now - retries.front() > 10s)
                {
                    retries.pop_front();
                }
                while (!requests.empty() && now - requests.front() > 10s)
                {
                    requests.pop_front();
                }
                RC_ASSERT(static_cast<double>(retries.size()) <=
                          0.2 * static_cast<double>(requests.size()) + 52);
            }
        }));
}

TEST(retry_rate_limiter_group, retries_are_available_again_after_the_window)
{
    retry_rate_limiter limiter({0.0, 4, 1'000ms});
    turmeric::ports::steady_time now{1h};
    CHECK(limiter.try_acquire("s", now));
    CHECK(limiter.try_acquire("s", now));
    CHECK(limiter.try_acquire("s", now));
    CHECK_FALSE(limiter.try_acquire("s", now));
    CHECK(limiter.try_acquire("other", now));
    CHECK(limiter.try_acquire("s", now + 3s));
}
