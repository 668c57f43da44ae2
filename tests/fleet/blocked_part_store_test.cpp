#include "libraries/domain/crashing_parts/crashing_part_detector.hpp"
#include "libraries/drivers/fleet/blocked_part_store.hpp"
#include "libraries/fakes/counting_logger.hpp"
#include "tests/fleet/fake_asynchronous_store.hpp"
#include "tests/fleet/manual_timer_queue.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::tests;
using namespace std::chrono_literals;

namespace
{

constexpr const char* key = "turmericfront/blocked_parts/dead";

} // namespace

TEST_GROUP(blocked_part_store_group)
{
    fakes::manual_clock clock;
    manual_timer_queue timers{clock};
    fakes::counting_logger log;
    fake_asynchronous_store store;
    drivers::blocked_part_store parts{store, timers, clock, log};
    std::vector<domain::suspect_part> loaded;

    void load()
    {
        parts.load([this](std::vector<domain::suspect_part> blocked)
                   { loaded = std::move(blocked); });
    }

    void update(bool is_blocked)
    {
        std::vector<domain::suspect_id> blocked;
        if (is_blocked)
        {
            blocked.push_back({domain::suspect_kind::prompt_part, 0xdead});
        }
        parts.update(blocked, domain::router_ranking());
    }

    bool is_stored() const
    {
        return !store.value(key).empty();
    }
};

TEST(blocked_part_store_group, a_blocked_part_is_written_once)
{
    update(true);
    store.serve_all();
    CHECK(is_stored());
    timers.advance(1min);
    update(true);
    LONGS_EQUAL(0, store.pending_call_count());
    timers.advance(30min);
    update(true);
    LONGS_EQUAL(1, store.pending_call_count());
}

TEST(blocked_part_store_group, a_failed_write_is_repeated_after_a_pause)
{
    update(true);
    store.serve_next(simulated_outcome::failed);
    update(true);
    LONGS_EQUAL(0, store.pending_call_count());
    timers.advance(3s);
    update(true);
    store.serve_all();
    CHECK(is_stored());
}

TEST(blocked_part_store_group, a_part_that_is_cleared_is_deleted)
{
    update(true);
    store.serve_all();
    update(false);
    store.serve_next(simulated_outcome::failed);
    timers.advance(3s);
    update(false);
    LONGS_EQUAL(1, store.pending_call_count());
    store.serve_all();
    update(false);
    LONGS_EQUAL(0, store.pending_call_count());
}

TEST(blocked_part_store_group, a_router_that_starts_reads_the_parts)
{
    update(true);
    store.serve_all();
    load();
    store.serve_next(simulated_outcome::failed);
    CHECK(loaded.empty());
    timers.advance(3s);
    store.serve_all();
    LONGS_EQUAL(1, loaded.size());
    LONGS_EQUAL(0xdead, loaded[0].id.value);
    domain::crashing_part_detector detector;
    detector.merge(loaded, clock.steady_now());
    CHECK(detector.find_blocked({loaded[0].id}).has_value());
    // Responses since then clear it, if the part is sound.
    CHECK(loaded[0].ends.back().at <= clock.steady_now() - 3s);
}

TEST(blocked_part_store_group, outdated_and_unreadable_entries_block_nothing)
{
    update(true);
    store.serve_all();
    store.put("turmericfront/blocked_parts/1", "damaged");
    store.put("turmericfront/blocked_parts/xyz", "damaged");
    timers.advance(2h);
    load();
    store.serve_all();
    CHECK(loaded.empty());
}

// Guards against a blocked part that a restored store has lost, and that
// routers which start then do not know.
TEST(blocked_part_store_group, a_restored_store_gets_blocked_parts_again)
{
    store.begin_era();
    store.take_copy();
    update(true);
    store.serve_all();
    store.restore_copy();
    CHECK_FALSE(is_stored());
    update(true);
    store.serve_all();
    CHECK(is_stored());
}

TEST(blocked_part_store_group, a_blocked_request_is_kept_apart_from_parts)
{
    const domain::suspect_id request{domain::suspect_kind::request, 0xdead};
    parts.update({request}, domain::router_ranking());
    store.serve_all();
    CHECK_FALSE(is_stored());
    load();
    store.serve_all();
    LONGS_EQUAL(1, loaded.size());
    CHECK(loaded[0].id == request);
    domain::crashing_part_detector detector;
    detector.merge(loaded, clock.steady_now());
    CHECK(detector.find_blocked({request}).has_value());
}
