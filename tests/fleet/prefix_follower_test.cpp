#include "libraries/drivers/fleet/prefix_follower.hpp"
#include "libraries/fakes/counting_logger.hpp"
#include "tests/fleet/fake_asynchronous_store.hpp"
#include "tests/fleet/manual_timer_queue.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::tests;
using namespace std::chrono_literals;

TEST_GROUP(prefix_follower_group)
{
    fakes::manual_clock clock;
    fakes::counting_logger log;
    fake_asynchronous_store store;
    manual_timer_queue timers{clock};
    drivers::followed_items latest_items;
    int change_count = 0;
    std::unique_ptr<drivers::prefix_follower> follower;

    void follow(std::chrono::milliseconds grace)
    {
        follow(drivers::follower_settings{"servers/", 2'200ms, grace});
    }

    /// Follows the prefix with what others know of the store: since when it
    /// has been available.
    void follow_with_witness(
        std::function<ports::steady_time(ports::steady_time)> witness)
    {
        follow(drivers::follower_settings{"servers/", 2'200ms, 2'100ms,
                                          std::move(witness)});
    }

    void follow(drivers::follower_settings settings)
    {
        follower = std::make_unique<drivers::prefix_follower>(
            store, timers, clock, log, std::move(settings));
        follower->start(
            [this](const drivers::followed_items& items)
            {
                latest_items = items;
                ++change_count;
            });
        store.serve_all();
    }
};

TEST(prefix_follower_group, reports_changes_and_deletions)
{
    store.put("servers/a", "1");
    store.put("other/b", "1");
    follow(0ms);
    LONGS_EQUAL(1, latest_items.size());
    store.put("servers/c", "2");
    store.erase("servers/a");
    store.respond_to_watches();
    LONGS_EQUAL(1, latest_items.size());
    LONGS_EQUAL(1, latest_items.count("servers/c"));
}

TEST(prefix_follower_group, a_series_of_changes_costs_one_more_watch)
{
    follow(0ms);
    store.put("servers/a", "1");
    store.respond_to_watches();
    LONGS_EQUAL(1, change_count - 1);
    for (const char* key : {"servers/b", "servers/c", "servers/d"})
    {
        store.put(key, "1");
        store.respond_to_watches();
        timers.advance(50ms);
    }
    LONGS_EQUAL(2, change_count);
    timers.advance(50ms);
    store.respond_to_watches();
    LONGS_EQUAL(3, change_count);
    LONGS_EQUAL(4, latest_items.size());
}

TEST(prefix_follower_group, reads_again_when_the_history_is_compacted)
{
    store.put("servers/a", "1");
    follow(0ms);
    store.erase("servers/a");
    store.put("servers/b", "1");
    store.respond_to_watches(true);
    store.serve_all();
    LONGS_EQUAL(1, latest_items.size());
    LONGS_EQUAL(1, latest_items.count("servers/b"));
}

TEST(prefix_follower_group, reads_again_after_a_failed_watch)
{
    follow(0ms);
    store.put("servers/a", "1");
    store.fail_watches();
    CHECK(follower->unavailable_since().has_value());
    timers.advance(1s);
    store.serve_all();
    CHECK_FALSE(follower->unavailable_since().has_value());
    LONGS_EQUAL(1, latest_items.size());
}

TEST(prefix_follower_group,
     keys_that_expired_in_an_outage_stay_for_the_grace_period)
{
    store.put("servers/a", "1");
    store.put("servers/b", "1");
    follow(2'100ms);
    store.fail_watches();
    store.erase("servers/a");
    store.erase("servers/b");
    timers.advance(1s);
    store.serve_all();
    LONGS_EQUAL(2, latest_items.size());
    store.put("servers/a", "2");
    store.respond_to_watches();
    timers.advance(3s);
    LONGS_EQUAL(1, latest_items.size());
    LONGS_EQUAL(1, latest_items.count("servers/a"));
}

// Guards against a router that was cut from the store going on with upstreams
// that have left in the meantime.
TEST(prefix_follower_group,
     a_key_deleted_while_only_this_router_was_cut_is_gone)
{
    store.put("servers/a", "1");
    store.put("servers/b", "1");
    follow_with_witness([](ports::steady_time)
                        { return ports::steady_time(0s); });
    store.fail_watches();
    store.erase("servers/a");
    timers.advance(1s);
    store.serve_all();
    LONGS_EQUAL(1, latest_items.size());
    LONGS_EQUAL(1, latest_items.count("servers/b"));
    store.erase("servers/b");
    store.respond_to_watches();
    LONGS_EQUAL(0, latest_items.size());
}

TEST(prefix_follower_group, a_key_stays_if_the_store_was_away_for_others_too)
{
    store.put("servers/a", "1");
    const ports::steady_time cut_at = clock.steady_now();
    follow_with_witness([cut_at](ports::steady_time)
                        { return cut_at + 700ms; });
    store.fail_watches();
    store.erase("servers/a");
    timers.advance(1s);
    store.serve_all();
    LONGS_EQUAL(1, latest_items.size());
    // The store was back 300 ms before this router found out.
    timers.advance(1'700ms);
    LONGS_EQUAL(1, latest_items.size());
    timers.advance(200ms);
    LONGS_EQUAL(0, latest_items.size());
}

TEST(prefix_follower_group, keys_stay_in_a_restore_that_a_cut_hid)
{
    store.begin_era();
    store.take_copy();
    store.put("servers/a", "1");
    follow_with_witness([](ports::steady_time)
                        { return ports::steady_time(0s); });
    store.fail_watches();
    store.restore_copy();
    store.serve_all();
    LONGS_EQUAL(1, latest_items.size());
    timers.advance(2'200ms);
    LONGS_EQUAL(0, latest_items.size());
}

TEST(prefix_follower_group, a_silent_read_does_not_delay_the_next)
{
    store.put("servers/a", "1");
    follow(drivers::follower_settings{"servers/", 2'200ms, 2'100ms, nullptr,
                                      500ms});
    store.fail_watches();
    timers.advance(100ms);
    LONGS_EQUAL(1, store.pending_call_count());
    timers.advance(1s);
    LONGS_EQUAL(3, store.pending_call_count());
    // A failed read starts no other while some are under way.
    store.serve_next(simulated_outcome::failed);
    timers.advance(400ms);
    LONGS_EQUAL(2, store.pending_call_count());
    const int changes = change_count;
    store.put("servers/b", "1");
    store.serve_all();
    LONGS_EQUAL(2, latest_items.size());
    LONGS_EQUAL(changes + 1, change_count);
    CHECK_FALSE(follower->unavailable_since().has_value());
    timers.advance(5s);
    LONGS_EQUAL(0, store.pending_call_count());
}

TEST(prefix_follower_group, a_key_deleted_without_an_outage_is_removed_at_once)
{
    store.put("servers/a", "1");
    follow(2'100ms);
    store.erase("servers/a");
    store.respond_to_watches();
    LONGS_EQUAL(0, latest_items.size());
}

// Guards against changes that a watch never reports, since a restored store has
// passed the revision that it waits after.
TEST(prefix_follower_group, a_restored_store_hides_no_change)
{
    store.begin_era();
    store.put("servers/a", "1");
    store.take_copy();
    store.put("servers/lost", "1");
    follow(0ms);
    store.restore_copy();
    store.put("servers/b", "1");
    store.put("servers/c", "1");
    store.respond_to_watches();
    store.serve_all();
    LONGS_EQUAL(3, latest_items.size());
    LONGS_EQUAL(0, latest_items.count("servers/lost"));
}

TEST(prefix_follower_group, keys_that_the_copy_lacks_are_kept_for_their_writers)
{
    store.begin_era();
    store.take_copy();
    store.put("servers/a", "1");
    store.put("servers/gone", "1");
    follow(2s);
    store.restore_copy();
    store.serve_all();
    LONGS_EQUAL(2, latest_items.size());
    store.put("servers/a", "1");
    store.respond_to_watches();
    timers.advance(2'100ms);
    LONGS_EQUAL(1, latest_items.size());
    LONGS_EQUAL(1, latest_items.count("servers/a"));
}

TEST(prefix_follower_group, two_restores_in_a_row_are_read_once_each)
{
    store.begin_era();
    store.put("servers/a", "1");
    store.take_copy();
    follow(0ms);
    store.restore_copy();
    store.restore_copy();
    store.serve_all();
    LONGS_EQUAL(2, change_count);
    store.put("servers/b", "1");
    store.respond_to_watches();
    LONGS_EQUAL(2, latest_items.size());
    LONGS_EQUAL(3, change_count);
}
