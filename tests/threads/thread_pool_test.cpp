#include "libraries/drivers/threads/control_thread.hpp"
#include "libraries/drivers/threads/thread_pool.hpp"

#include <atomic>
#include <future>

#include <CppUTest/TestHarness.h>

using turmeric::drivers::control_thread;
using turmeric::drivers::thread_pool;

TEST_GROUP(threads){};

TEST(threads, a_full_pool_refuses_a_job_and_runs_the_accepted_ones)
{
    std::atomic<int> done{0};
    std::promise<void> start_promise;
    std::shared_future<void> started = start_promise.get_future().share();
    thread_pool pool(2);
    auto job = [&done, started]
    {
        started.wait();
        ++done;
    };
    CHECK_TRUE(pool.try_run(job));
    CHECK_TRUE(pool.try_run(job));
    CHECK_FALSE(pool.try_run(job));
    start_promise.set_value();
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
