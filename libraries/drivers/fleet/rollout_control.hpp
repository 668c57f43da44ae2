#pragma once

#include "libraries/codecs/fleet/rollout_message.hpp"
#include "libraries/core/logger.hpp"
#include "libraries/domain/membership/router_ranking.hpp"
#include "libraries/domain/move/service_rollout.hpp"
#include "libraries/domain/placement/upstream_entry.hpp"
#include "libraries/drivers/exchange/fleet_view.hpp"
#include "libraries/drivers/fleet/document_formats.hpp"
#include "libraries/drivers/fleet/peer_table.hpp"
#include "libraries/ports/asynchronous_store.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/datagram_link.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace turmeric::drivers
{

/// The objects that `rollout_control` uses. All of them outlive it.
struct rollout_dependencies
{
    ports::asynchronous_store& store;
    const ports::clock& clock;
    ports::datagram_link& peers;
    turmeric::logger& log;
};

/// Moves services to the versions that operators order. While a move is under
/// way, each router reports what it sees to a few judges, which are the routers
/// that rank first for the move, and the judges tell all routers its state. The
/// first of them that reaches the store writes the state, under the condition
/// that it is the next one, so that two never write different ones. Used on the
/// control thread only.
class rollout_control
{
public:
    /// Precondition: all of `dependencies` and `members` outlive this object;
    /// `changed` is called when `splits` has changed.
    rollout_control(const rollout_dependencies& dependencies,
                    const peer_table& members, const document_formats& formats,
                    const domain::rollout_settings& settings, std::string self,
                    std::function<void()> changed);
    ~rollout_control();
    rollout_control(const rollout_control&) = delete;
    rollout_control& operator=(const rollout_control&) = delete;

    /// Sets the orders that the store has.
    void set_orders(const std::vector<domain::rollout_order>& orders);

    /// Sets the registered upstreams.
    void set_upstreams(std::vector<domain::upstream_entry> entries);

    /// Judges the moves that are under way by what the traffic and the peers
    /// have seen, stores transitions that are due, and reports.
    /// `report_interval` is the time between two calls at each router.
    void update(const traffic_digest& traffic,
                const domain::router_ranking& ranking,
                std::chrono::milliseconds report_interval);

    /// Handles a peer's report.
    void handle(const codecs::rollout_message& message);

    /// Returns how the requests of the services are divided now.
    [[nodiscard]] std::vector<domain::service_split> splits() const;

private:
    struct rollout;

    /// Reads the states that are stored, again later if that fails.
    void load();
    [[nodiscard]] bool has_other_version(const rollout& one) const;
    void on_loaded(const result<ports::key_range>& response);
    void adopt_record(const ports::key_value& record);
    /// Sums up what the old and the new version have.
    struct version_strength;
    [[nodiscard]] version_strength measure(const domain::rollout_order& order,
                                           const traffic_digest& traffic) const;
    void update(rollout& one, const traffic_digest& traffic,
                const domain::router_ranking& ranking,
                std::chrono::milliseconds report_interval);
    void commit(rollout& one, const domain::move_state& next);
    void on_committed(const std::string& service,
                      const domain::move_state& next,
                      const result<ports::change_outcome>& response);
    // rollout_control_reports.cpp: what peers and operators learn.
    void log_state(const rollout& one) const;
    /// Logs a version that was found bad here or by a peer, once.
    void log_cut(rollout& one) const;
    void send_reports(const domain::router_ranking& ranking);
    /// Returns the incarnations of the peers that judge a move.
    [[nodiscard]] std::set<std::string>
    list_judges(std::uint64_t identity) const;

    rollout_dependencies m_dependencies;
    const peer_table& m_members;
    document_formats m_formats;
    domain::rollout_settings m_settings;
    std::string m_self;
    std::function<void()> m_changed;
    /// By service.
    std::map<std::string, std::unique_ptr<rollout>> m_rollouts;
    std::vector<domain::upstream_entry> m_upstreams;
    /// The last message of each peer.
    std::map<std::string, std::int64_t> m_received;
    std::int64_t m_sequence = 0;
    bool m_is_loading = false;
    std::optional<ports::steady_time> m_load_at;
    /// Expires with this object; calls may end later.
    std::shared_ptr<rollout_control*> m_alive;
};

} // namespace turmeric::drivers
