#pragma once

#include "libraries/codecs/move/move_state_codec.hpp"
#include "libraries/drivers/move/move_driver.hpp"
#include "libraries/drivers/move/version_guard.hpp"
#include "libraries/fakes/fake_key_value_store.hpp"
#include "libraries/fakes/manual_clock.hpp"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

/// Discards log lines.
class null_logger final : public turmeric::logger
{
public:
    void write(turmeric::log_level /*level*/, turmeric::log_event /*event*/,
               const std::vector<turmeric::log_field>& /*fields*/) override
    {
    }
};

/// Delivers peer messages to the version guards of the fleet by address.
class fleet_peer_caller final : public turmeric::ports::peer_caller
{
public:
    turmeric::result<std::string>
    call(const std::string& address,
         const turmeric::ports::peer_message& message,
         std::chrono::milliseconds /*timeout*/) override
    {
        if (unreachable.contains(address))
        {
            return turmeric::error{turmeric::result_code::peer_unavailable,
                                   address, "unreachable"};
        }
        return guards.at(address)->handle_message(message);
    }

    std::map<std::string, turmeric::drivers::version_guard*> guards;
    std::set<std::string> unreachable;
};

/// Records the orders; each fails while `is_failing` is set.
class recording_order_sender final : public turmeric::ports::order_sender
{
public:
    turmeric::status send(const std::string& address,
                          const turmeric::ports::upstream_order& order,
                          std::chrono::milliseconds /*timeout*/) override
    {
        sent.emplace_back(address, order);
        if (is_failing)
        {
            return turmeric::error{turmeric::result_code::upstream_timeout,
                                   address, "no response"};
        }
        return turmeric::success();
    }

    std::vector<std::pair<std::string, turmeric::ports::upstream_order>> sent;
    bool is_failing = false;
};

/// Three routers, a store and controllers that share one manual clock.
struct simulated_fleet
{
    simulated_fleet();

    /// Adds a controller that leads with this fencing number.
    turmeric::drivers::move_driver& add_controller(std::int64_t fencing);

    /// Serves requests on each router, reads the store on each, steps the
    /// controllers and moves the clock on by half a second, `rounds` times.
    void run(int rounds);

    /// Ends any outage of the store and returns the stored state of the route's
    /// move. Precondition: the move is stored.
    turmeric::domain::move_state stored_state();

    /// Serves one request on each router.
    void serve_request_per_router();

    /// Applies the stored state on each router, as its watch of the store does.
    void deliver_stored_state();

    turmeric::fakes::manual_clock clock;
    null_logger log;
    turmeric::fakes::fake_key_value_store store{clock};
    fleet_peer_caller peers;
    recording_order_sender orders;
    turmeric::domain::configuration declared;
    std::vector<std::string> addresses{"r0:1", "r1:1", "r2:1"};
    std::deque<turmeric::drivers::version_guard> guards;
    /// The fencing number of each controller; empty while it does not lead.
    std::deque<std::optional<std::int64_t>> fencings;
    std::deque<turmeric::drivers::move_driver> controllers;
    /// Versions whose requests fail.
    std::set<std::string> failing_versions;
    /// The router at which they fail; null for all routers.
    const turmeric::drivers::version_guard* failing_router = nullptr;
    /// The number of requests to the new version; a test resets it.
    int new_version_requests = 0;
    int next_request_id = 0;
    int requests_per_round = 10;
};
