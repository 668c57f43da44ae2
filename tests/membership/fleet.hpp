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

/// Routers that exchange heartbeats in rounds, with a platform and a VM list
/// that can be cut off. Steps the decision objects; no thread, no socket.
class fleet
{
public:
    struct router
    {
        router(const domain::member& self,
               const domain::membership_limits& limits, ports::steady_time now);

        domain::member self;
        domain::membership_view view;
        domain::share_table table;
        domain::upstream_selector selector;
        std::vector<domain::upstream_choice> held_choices;
        bool is_frozen = false;
        bool can_reach_platform = true;
        std::optional<ports::steady_time> died_at;
        std::optional<ports::steady_time> left_at;
        int partition = 0;
    };

    fleet(const domain::membership_limits& limits, std::int32_t capacity);

    /// Starts a router; on an earlier one's VM when `vm` is given.
    std::size_t start(std::optional<std::string> vm = std::nullopt);
    /// Ends a router at once; its requests go on for a while upstream.
    void kill(std::size_t index);
    /// Ends the router's VM and takes it off the list.
    void remove_vm(std::size_t index);
    void leave(std::size_t index);
    void dispatch(std::size_t index, std::uint64_t prefix);
    void finish(std::size_t index);
    /// Lets a round's time pass and everyone talk.
    void run_round();

    [[nodiscard]] std::int64_t total_held() const;
    [[nodiscard]] bool has_successor(std::size_t index) const;
    [[nodiscard]] bool is_running(std::size_t index) const;
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
