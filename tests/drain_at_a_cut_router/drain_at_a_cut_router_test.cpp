#include "libraries/drivers/fleet/fleet_control.hpp"
#include "libraries/fakes/counting_logger.hpp"
#include "libraries/fakes/seeded_random.hpp"
#include "tests/simulation/delayed_network.hpp"
#include "tests/simulation/delayed_store.hpp"

#include <CppUTest/TestHarness.h>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace turmeric;
using namespace turmeric::tests;
using namespace std::chrono_literals;

namespace
{

constexpr const char* upstream_prefix = "servers/";

result<domain::route_declarations> read_declarations(std::string_view)
{
    domain::route_declarations made;
    made.version = 1;
    return made;
}

result<domain::upstream_entry> read_upstream(std::string_view key,
                                             std::string_view)
{
    domain::upstream_entry entry;
    entry.id = key.substr(std::string_view(upstream_prefix).size());
    entry.service = "s";
    return entry;
}

/// A traffic thread without requests that knows which upstreams it may use.
class listed_upstreams final : public drivers::traffic_link
{
public:
    explicit listed_upstreams(event_queue& events)
        : m_events(events)
    {
    }

    void set_upstreams(std::vector<domain::upstream_entry> entries) override
    {
        ids.clear();
        for (const domain::upstream_entry& entry : entries)
        {
            ids.insert(entry.id);
        }
    }

    void
    request_digest(std::function<void(drivers::traffic_digest)> done) override
    {
        m_events.run_after(0ns, [done = std::move(done)] { done({}); });
    }

    void pass_on(const std::string&, std::int64_t,
                 std::function<void(std::int64_t)> done) override
    {
        done(0);
    }

    void lend(const std::string&, std::int64_t,
              std::function<void(std::int64_t)> done) override
    {
        done(0);
    }

    void release(const std::string&, std::int64_t,
                 std::function<void(std::int64_t)> done) override
    {
        done(0);
    }

    void set_routes(std::shared_ptr<const domain::route_table>) override {}
    void set_fleet(drivers::fleet_view) override {}
    void merge_observations(domain::upstream_observations) override {}
    void refuse_pending_holds(const std::string&) override {}

    std::set<std::string> ids;

private:
    event_queue& m_events;
};

/// Routers over one store in which the upstreams "a", "b" and "c" are
/// registered.
struct fleet
{
    struct router
    {
        router(fleet& shared, const std::string& name)
            : store(shared.store, shared.events)
            , traffic(shared.events)
            , link(shared.network, name)
            , control({store, shared.events, shared.clock, link, traffic,
                       shared.log,
                       [](const std::string&, const auto& done) { done(""); }},
                      {"configuration", upstream_prefix, &read_declarations,
                       &read_upstream},
                      {name, name, "east", name, name})
        {
        }

        [[nodiscard]] bool uses(const std::string& upstream) const
        {
            return traffic.ids.contains(upstream);
        }

        delayed_store store;
        listed_upstreams traffic;
        delayed_link link;
        drivers::fleet_control control;
    };

    explicit fleet(int size)
    {
        store.begin_era();
        store.put("configuration", "1");
        for (const char* id : {"a", "b", "c"})
        {
            store.put(upstream_prefix + std::string(id), "ready");
        }
        for (int number = 0; number < size; ++number)
        {
            routers.push_back(std::make_unique<router>(
                *this, "router-" + std::to_string(number)));
            routers.back()->store.loses_watches = true;
            routers.back()->control.start();
        }
        answer_watches();
        events.run_for(5s);
    }

    void answer_watches()
    {
        store.respond_to_watches();
        events.run_after(200ms, [this] { answer_watches(); });
    }

    void set_cut(bool is_cut)
    {
        for (const std::unique_ptr<router>& one : routers)
        {
            one->store.is_cut = is_cut;
        }
    }

    fakes::manual_clock clock;
    event_queue events{clock};
    fakes::counting_logger log;
    fakes::seeded_random random{20261204};
    fake_asynchronous_store store;
    delayed_network network{events, random};
    std::vector<std::unique_ptr<router>> routers;
};

/// Cuts the first router from the store for `cut_time`, in which an upstream
/// leaves, and checks that the router stops to use it within `bound` of the
/// cut's end.
void check_leaves(int size, std::chrono::milliseconds cut_time,
                  std::chrono::milliseconds bound)
{
    fleet played(size);
    fleet::router& cut = *played.routers.front();
    cut.store.is_cut = true;
    played.events.run_for(cut_time - 100ms);
    played.store.erase("servers/a");
    played.events.run_for(100ms);
    CHECK(cut.uses("a"));
    cut.store.is_cut = false;
    played.events.run_for(bound);
    CHECK_FALSE_TEXT(cut.uses("a"), std::to_string(cut_time.count()).c_str());
    CHECK(cut.uses("b"));
    CHECK(cut.uses("c"));
    played.events.run_for(3s);
    CHECK_FALSE(cut.uses("a"));
}

} // namespace

// Guards against requests to upstreams that have left while their router was
// cut from the store.
TEST_GROUP(drain_at_a_cut_router_group){};

TEST(drain_at_a_cut_router_group, the_first_read_after_a_cut_ends_what_has_left)
{
    // A read begins at least every 500 ms and takes 6 ms.
    for (std::chrono::milliseconds cut = 2s; cut <= 6s; cut += 170ms)
    {
        check_leaves(6, cut, 700ms);
        check_leaves(3, cut, 700ms);
    }
}

TEST(drain_at_a_cut_router_group, a_lone_router_ends_it_within_the_contact_time)
{
    // No one can tell it that the store was not away.
    for (std::chrono::milliseconds cut = 2s; cut <= 6s; cut += 170ms)
    {
        check_leaves(1, cut, 2'800ms);
    }
}

TEST(drain_at_a_cut_router_group, upstreams_stay_after_the_store_was_away)
{
    for (const int size : {1, 2, 6})
    {
        fleet played(size);
        played.set_cut(true);
        played.events.run_for(4s);
        // Their registrations end while the store is away.
        played.store.erase("servers/a");
        played.store.erase("servers/b");
        played.set_cut(false);
        for (int step = 0; step < 19; ++step)
        {
            played.events.run_for(100ms);
            for (const auto& one : played.routers)
            {
                CHECK(one->uses("a"));
                CHECK(one->uses("b"));
            }
        }
        played.store.put("servers/a", "ready");
        played.events.run_for(1s);
        for (const auto& one : played.routers)
        {
            CHECK(one->uses("a"));
            CHECK_FALSE(one->uses("b"));
        }
    }
}
