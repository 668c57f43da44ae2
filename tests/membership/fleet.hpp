#pragma once

#include "libraries/domain/membership/locate.hpp"
#include "libraries/domain/membership/membership_view.hpp"
#include "libraries/domain/routing/share_table.hpp"
#include "libraries/domain/routing/upstream_selector.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace turmeric::tests
{

/// Simulates routers that exchange heartbeats in rounds, with a platform and a
/// VM list that can become unreachable. Runs the decision objects of the
/// routers without threads or sockets.
class fleet
{
public:
    /// One simulated router.
    struct router
    {
        router(const domain::member& self,
               const domain::membership_limits& limits, ports::steady_time now);

        domain::member self;
        domain::membership_view view;
        domain::share_table table;
        domain::upstream_selector selector;
        /// Its requests that hold a slot at the upstream.
        std::vector<domain::upstream_choice> held_choices;
        /// Paused: makes no calls and responds to none.
        bool is_frozen = false;
        bool can_reach_platform = true;
        std::optional<ports::steady_time> died_at;
        /// When it began to leave.
        std::optional<ports::steady_time> left_at;
        /// Routers of the same network partition can reach each other.
        int partition = 0;
    };

    /// `capacity` is the number of slots of the one upstream.
    fleet(const domain::membership_limits& limits, std::int32_t capacity);

    /// Starts a router and returns its index. If `vm` is given, it starts there
    /// and ends the routers on that VM.
    std::size_t start(std::optional<std::string> vm = std::nullopt);
    /// Ends a router at once; its requests continue at the upstream for
    /// `max_request_duration`.
    void kill(std::size_t index);
    /// Ends the router's VM and removes it from the VM list.
    void remove_vm(std::size_t index);
    /// Sets the router's state to leaving.
    void leave(std::size_t index);
    /// Sends a request to the upstream if the router has a free slot.
    void dispatch(std::size_t index, std::uint64_t prefix);
    /// Finishes one of the router's requests.
    void finish(std::size_t index);
    /// Advances the clock by one round; each running router exchanges
    /// heartbeats with its peers and calls the platform.
    void run_round();

    /// Returns the number of requests that all routers hold together.
    [[nodiscard]] std::int64_t total_held() const;
    /// Returns whether a router runs on the VM of this one.
    [[nodiscard]] bool has_successor(std::size_t index) const;
    [[nodiscard]] bool is_running(std::size_t index) const;
    /// Returns whether `observer` lists `target` in locate responses.
    [[nodiscard]] bool locates(std::size_t observer, std::size_t target) const;
    [[nodiscard]] bool are_connected(const router& left,
                                     const router& right) const;

    static constexpr std::chrono::milliseconds round{500};

    std::vector<std::unique_ptr<router>> routers;
    bool is_platform_up = true;
    domain::epoch_record stored_record;
    std::uint64_t message_count = 0;
    ports::steady_time now{std::chrono::hours(1)};

private:
    void kill_all_on_vm(const std::string& vm);
    void exchange(router& from, router& to);
    void call_platform(router& subject);
    void apply(router& subject);

    domain::membership_limits m_limits;
    domain::upstream_declaration m_upstream;
    std::set<std::string> m_removed_vms;
    std::map<std::string, ports::steady_time> m_leases;
};

} // namespace turmeric::tests
