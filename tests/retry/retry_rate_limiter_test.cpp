#include <rapidcheck.h>

#include "libraries/domain/retry/retry_window.hpp"

#include <deque>

#include <CppUTest/TestHarness.h>

using namespace turmeric::domain;
using namespace std::chrono_literals;

TEST_GROUP(retry_window_group){};

TEST(retry_window_group, no_window_holds_more_than_the_bound)
{
    CHECK(rc::check(
        "repeats of all routers stay within ratio and slack",
        []
        {
            const retry_window_limits limits{0.2, 52, 10'000ms};
            constexpr std::size_t routers = 6;
            std::vector<retry_window> windows(routers, retry_window(limits));
            for (retry_window& one : windows)
            {
                one.set_routers(routers);
            }
            turmeric::ports::steady_time now{1h};
            std::deque<turmeric::ports::steady_time> repeats;
            std::deque<turmeric::ports::steady_time> requests;
            for (int step = 0; step < 400; ++step)
            {
                now += std::chrono::milliseconds(*rc::gen::inRange(1, 120));
                retry_window& one =
                    windows[*rc::gen::inRange<std::size_t>(0, routers)];
                one.note_request("s", now);
                requests.push_back(now);
                if (one.take("s", now))
                {
                    repeats.push_back(now);
                }
                while (!repeats.empty() && now - repeats.front() > 10s)
                {
                    repeats.pop_front();
                }
                while (!requests.empty() && now - requests.front() > 10s)
                {
                    requests.pop_front();
                }
                RC_ASSERT(static_cast<double>(repeats.size()) <=
                          0.2 * static_cast<double>(requests.size()) + 52);
            }
        }));
}

TEST(retry_window_group, repeats_are_had_again_after_the_window)
{
    retry_window window({0.0, 4, 1'000ms});
    turmeric::ports::steady_time now{1h};
    CHECK(window.take("s", now));
    CHECK(window.take("s", now));
    CHECK(window.take("s", now));
    CHECK_FALSE(window.take("s", now));
    CHECK(window.take("other", now));
    CHECK(window.take("s", now + 3s));
}
