#include "libraries/drivers/threads/control_thread.hpp"
#include "libraries/drivers/threads/thread_pool.hpp"

#include <atomic>
#include <future>

#include <CppUTest/TestHarness.h>

using turmeric::drivers::control_thread;
using turmeric::drivers::thread_pool;

TEST_GROUP(threads){};

TEST(threads, a_full_pool_refuses_and_runs_what_it_took)
{
    std::atomic<int> done{0};
    std::promise<void> gate;
    std::shared_future<void> open = gate.get_future().share();
    thread_pool pool(2);
    auto job = [&done, open]
    {
        open.wait();
        ++done;
    };
    CHECK_TRUE(pool.try_run(job));
    CHECK_TRUE(pool.try_run(job));
    CHECK_FALSE(pool.try_run(job));
    gate.set_value();
    pool.shut_down();
    LONGS_EQUAL(2, done);
    CHECK_FALSE(pool.try_run(job));
}

TEST(threads, a_control_thread_runs_jobs_one_after_another)
{
    control_thread control(std::chrono::milliseconds(10), [] {});
    int value = 0;
    for (int i = 0; i < 100; ++i)
    {
        control.post([&value] { ++value; });
    }
    LONGS_EQUAL(100, control.run_and_wait([&value] { return value; }));
    control.stop();
    LONGS_EQUAL(101, control.run_and_wait([&value] { return ++value; }));
}
