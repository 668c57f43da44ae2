#include <rapidcheck.h>

#include "libraries/drivers/configuration/configuration_follower.hpp"
#include "libraries/drivers/configuration/configuration_keys.hpp"
#include "libraries/drivers/configuration/configuration_writer.hpp"
#include "libraries/fakes/fake_key_value_store.hpp"
#include "libraries/fakes/manual_clock.hpp"
#include "tests/configuration/sample_configurations.hpp"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace turmeric;

namespace
{

/// Delivers messages directly to followers in this process.
class in_process_peer_caller final : public ports::peer_caller
{
public:
    result<std::string> call(const std::string& address,
                             const ports::peer_message& message,
                             std::chrono::milliseconds) override
    {
        auto found = followers.find(address);
        if (found == followers.end())
        {
            return error{result_code::peer_unavailable, address,
                         "no such peer"};
        }
        return found->second->serve(message.body);
    }

    std::map<std::string, drivers::configuration_follower*> followers;
};

struct fixture
{
    drivers::configuration_follower make_follower()
    {
        return {store,
                log,
                {&peers,
                 [] {
                     return std::vector<std::string>{"x", "peer"};
                 }},
                {}};
    }

    void apply(std::uint32_t seed)
    {
        drivers::configuration_change change;
        change.declared.objects = tests::sample_configuration(seed);
        change.declared.is_complete = true;
        (void)writer.apply(change);
    }

    void write_move(const std::string& text, ports::revision expected)
    {
        CHECK(store
                  .compare_and_swap(drivers::live_move_key("chat"), text,
                                    expected, 0)
                  .has_value());
    }

    fakes::manual_clock clock;
    fakes::fake_key_value_store store{clock};
    tests::null_logger log;
    in_process_peer_caller peers;
    drivers::configuration_writer writer{store, "writer", [] {}};
};

} // namespace

TEST_GROUP(configuration_follower){};

TEST(configuration_follower, a_watch_delivers_versions_and_move_states)
{
    fixture f;
    drivers::configuration_follower follower = f.make_follower();
    f.apply(1);
    CHECK(follower.poll_once().has_value());
    LONGS_EQUAL(1, follower.current()->version);
    int notifications = 0;
    follower.set_listener([&notifications] { ++notifications; });
    f.apply(2);
    f.write_move("{}", 0);
    CHECK(follower.watch_once().has_value());
    LONGS_EQUAL(2, follower.current()->version);
    STRCMP_EQUAL("{}", follower.moves()->at("chat").text.c_str());
    LONGS_EQUAL(2, notifications);
}

TEST(configuration_follower, a_poll_finds_changes_that_a_failed_watch_missed)
{
    fixture f;
    drivers::configuration_follower follower = f.make_follower();
    f.apply(1);
    f.write_move("{}", 0);
    CHECK(follower.poll_once().has_value());
    f.apply(2);
    const ports::revision modification_revision =
        follower.moves()->at("chat").modification_revision;
    CHECK(f.store
              .compare_and_delete(drivers::live_move_key("chat"),
                                  modification_revision)
              .has_value());
    CHECK(follower.poll_once().has_value());
    LONGS_EQUAL(2, follower.current()->version);
    CHECK(follower.moves()->empty());
}

TEST(configuration_follower,
     loads_the_configuration_from_a_peer_during_an_outage)
{
    fixture f;
    f.apply(3);
    drivers::configuration_follower old_router = f.make_follower();
    CHECK(old_router.poll_once().has_value());
    f.peers.followers["peer"] = &old_router;
    f.store.set_outage(true);
    drivers::configuration_follower new_router = f.make_follower();
    CHECK_FALSE(new_router.poll_once().has_value());
    CHECK_FALSE(new_router.is_platform_up());
    LONGS_EQUAL(1, new_router.current()->version);
    CHECK(*new_router.current() == *old_router.current());
    f.store.set_outage(false);
    CHECK(new_router.poll_once().has_value());
    CHECK(new_router.is_platform_up());
}

TEST(configuration_follower, late_lists_and_events_do_not_revert_a_move_state)
{
    CHECK(rc::check(
        "lists and events arrive out of order",
        []
        {
            const auto order =
                *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 20));
            drivers::live_move_states moves;
            ports::revision newest = 0;
            for (const int revision : order)
            {
                const ports::key_value entry{drivers::live_move_key("chat"),
                                             std::to_string(revision),
                                             revision};
                if (revision % 2 == 0)
                {
                    (void)moves.apply_list({{entry}, revision});
                }
                else
                {
                    (void)moves.apply_events(
                        {{{entry, false}}, revision, false});
                }
                newest = std::max<ports::revision>(newest, revision);
                RC_ASSERT(moves.current()->at("chat").modification_revision ==
                          newest);
            }
        }));
}
