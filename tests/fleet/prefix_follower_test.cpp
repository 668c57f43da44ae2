#include "libraries/drivers/fleet/prefix_follower.hpp"
#include "libraries/fakes/recording_logger.hpp"
#include "tests/fleet/store_world.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::tests;
using namespace std::chrono_literals;

TEST_GROUP(prefix_follower_group)
{
    fakes::manual_clock clock;
    fakes::recording_logger log;
    store_world store;
    manual_timers timers{clock};
    drivers::followed_items seen;
    int told = 0;
    std::unique_ptr<drivers::prefix_follower> follower;

    void follow(std::chrono::milliseconds grace)
    {
        follower = std::make_unique<drivers::prefix_follower>(
            store, timers, clock, log,
            drivers::follower_settings{"servers/", 2'200ms, grace});
        follower->start(
            [this](const drivers::followed_items& items)
            {
                seen = items;
                ++told;
            });
        store.run_all();
    }
};

TEST(prefix_follower_group, sees_changes_and_removals)
{
    store.put("servers/a", "1");
    store.put("other/b", "1");
    follow(0ms);
    LONGS_EQUAL(1, seen.size());
    store.put("servers/c", "2");
    store.erase("servers/a");
    store.answer_watches();
    LONGS_EQUAL(1, seen.size());
    LONGS_EQUAL(1, seen.count("servers/c"));
}

TEST(prefix_follower_group, reads_again_when_the_history_is_gone)
{
    store.put("servers/a", "1");
    follow(0ms);
    store.erase("servers/a");
    store.put("servers/b", "1");
    store.answer_watches(true);
    store.run_all();
    LONGS_EQUAL(1, seen.size());
    LONGS_EQUAL(1, seen.count("servers/b"));
}

TEST(prefix_follower_group, reads_again_after_a_watch_that_was_cut)
{
    follow(0ms);
    store.put("servers/a", "1");
    store.cut_watches();
    CHECK(follower->silent_since().has_value());
    timers.advance(1s);
    store.run_all();
    CHECK_FALSE(follower->silent_since().has_value());
    LONGS_EQUAL(1, seen.size());
}

TEST(prefix_follower_group, keys_that_lapsed_in_an_outage_stay_for_a_while)
{
    store.put("servers/a", "1");
    store.put("servers/b", "1");
    follow(2'100ms);
    store.cut_watches();
    store.erase("servers/a");
    store.erase("servers/b");
    timers.advance(1s);
    store.run_all();
    LONGS_EQUAL(2, seen.size());
    store.put("servers/a", "2");
    store.answer_watches();
    timers.advance(3s);
    LONGS_EQUAL(1, seen.size());
    LONGS_EQUAL(1, seen.count("servers/a"));
}

TEST(prefix_follower_group, a_key_that_vanishes_on_a_calm_day_is_gone_at_once)
{
    store.put("servers/a", "1");
    follow(2'100ms);
    store.erase("servers/a");
    store.answer_watches();
    LONGS_EQUAL(0, seen.size());
}
