#pragma once

#include "libraries/domain/membership/member.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/vm_list.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace turmeric::domain
{

/// Time limits and sizes of membership.
struct membership_limits
{
    /// Nearest peers on each side of the ring.
    std::size_t neighbours = 8;
    /// Time without a heartbeat from a peer after which this router suspects
    /// that the peer failed.
    std::chrono::milliseconds suspect_after{2'000};
    /// Maximum time between two increments of a router's own version.
    std::chrono::milliseconds refresh_interval{15'000};
    /// Minimum time between two changes of the reported load.
    std::chrono::milliseconds min_load_interval{2'000};
    /// A member whose version does not change for this long is unreachable.
    std::chrono::milliseconds stale_after{45'000};
    /// How long a VM must be missing from the VM list to count as removed. Must
    /// be longer than the lag of the list.
    std::chrono::milliseconds vm_gone_after{60'000};
    /// Maximum time that an upstream may continue a request after the router
    /// that sent it ended.
    std::chrono::milliseconds max_request_duration{300'000};
    /// Maximum number of epochs in the record.
    std::size_t max_epochs = 8;
    /// Routers propose a record in the order of their incarnations, each this
    /// much later than the one before it.
    std::chrono::milliseconds proposal_stagger{2'000};
    /// How long a member without a lease is kept after its version last
    /// changed.
    std::chrono::milliseconds retention{900'000};
};

/// Decides from leases, the VM list and peers' heartbeats which members are
/// live, which of them to exchange heartbeats with and which epoch comes next.
/// During a platform outage only heartbeats decide, and epochs do not change.
/// Not thread safe.
class membership_view
{
public:
    /// `self` identifies this router. Not thread safe.
    membership_view(const member& self, const membership_limits& limits,
                    ports::steady_time now);

    /// Sets the state that this router reports; an earlier state than the
    /// present one is ignored. Not thread safe.
    void set_state(member_state state);
    /// Sets the number of requests that this router may run at all upstreams
    /// together; locate derives the router's weight from it. Not thread safe.
    void set_share(std::int64_t share);
    /// Sets the number of requests that this router runs or queues; reported
    /// when it changed by an eighth of the share, and at most once in
    /// `min_load_interval`. Not thread safe.
    void set_load(std::int64_t load, ports::steady_time now);
    /// Sets the epoch that this router acknowledges: it runs no request beyond
    /// its shares of that epoch. A lower number than the present one is
    /// ignored. Not thread safe.
    void set_acknowledged(epoch_number number);
    /// Sets the configuration in force at this router; an older version than
    /// the present one is ignored. Not thread safe.
    void set_configuration(std::int64_t version, const std::string& digest);

    /// Updates the members that hold a lease, as read from the platform. Not
    /// thread safe.
    void update_leases(const std::vector<member>& registered,
                       ports::steady_time now);

    /// Updates the VM list, as read from the platform. Not thread safe.
    void update_vms(const std::vector<ports::vm_entry>& vms,
                    ports::steady_time now);

    /// Replaces the epoch record by a newer one; an older one is ignored. Not
    /// thread safe.
    void update_record(const epoch_record& record);

    /// Returns the next heartbeat for a peer: the rows that the peer has not
    /// acknowledged. Not thread safe.
    [[nodiscard]] heartbeat make_heartbeat(const std::string& receiver,
                                           ports::steady_time now);

    /// Processes a peer's heartbeat or its response to one. Not thread safe.
    void receive(const heartbeat& message, ports::steady_time now);

    /// Increments this router's version when due, removes old members, chooses
    /// the peers and marks those suspected whose heartbeats are overdue. Call
    /// it once a round. Not thread safe.
    void advance(ports::steady_time now);

    /// Returns the members to exchange heartbeats with. Not thread safe.
    [[nodiscard]] std::vector<member> peers() const;

    /// Returns the record to write by compare-and-swap, if the present one is
    /// outdated and this router's waiting time is over: the first eligible
    /// router proposes at once, each later one `proposal_stagger` after the
    /// one before it. Not thread safe.
    [[nodiscard]] std::optional<epoch_record> propose(ports::steady_time now);

    /// Returns the present view of the fleet. Not thread safe.
    [[nodiscard]] membership_snapshot snapshot(ports::steady_time now) const;

private:
    struct member_entry
    {
        member_row row;
        /// This router's change count when the row last changed.
        std::uint64_t change_index = 0;
        ports::steady_time last_heartbeat_at{};
        ports::steady_time version_raised_at{};
        bool has_lease = false;
    };

    struct vm_observation
    {
        ports::steady_time last_seen{};
        bool is_listed = false;
        bool is_leaving = false;
    };

    struct peer_progress
    {
        std::uint64_t received = 0;
        std::uint64_t acknowledged = 0;
        std::int64_t record_revision = 0;
    };

    member_entry& self();
    void mark_changed(member_entry& entry);
    void increment_own_version();
    void merge(const member_row& row, ports::steady_time now);
    void mark_suspected(member_entry& entry, const std::string& observer);
    void erase_expired_members(ports::steady_time now);
    [[nodiscard]] bool is_unreachable(const member_entry& entry,
                                      ports::steady_time now) const;
    [[nodiscard]] bool is_eligible(const member_entry& entry,
                                   ports::steady_time now) const;
    [[nodiscard]] bool has_end_evidence(const std::string& incarnation,
                                        const router_origin& origin,
                                        ports::steady_time now) const;
    [[nodiscard]] bool has_successor(const router_origin& origin) const;
    void update_end_evidence(ports::steady_time now);
    [[nodiscard]] bool has_ended(const std::string& incarnation,
                                 ports::steady_time now) const;
    [[nodiscard]] std::size_t own_proposal_rank(ports::steady_time now) const;
    [[nodiscard]] std::vector<std::string>
    next_routers(const epoch_record& next, ports::steady_time now) const;
    [[nodiscard]] epoch_record next_record(ports::steady_time now) const;
    void erase_released_epochs(epoch_record& record) const;
    void update_peers(ports::steady_time now);

    membership_limits m_limits;
    std::string m_self;
    std::map<std::string, member_entry> m_members;
    std::map<std::string, vm_observation> m_vms;
    std::map<std::string, peer_progress> m_progress;
    std::set<std::string> m_peers;
    epoch_record m_record;
    std::uint64_t m_change_count = 0;
    std::size_t m_probe_round = 0;
    ports::steady_time m_refreshed_at{};
    std::optional<ports::steady_time> m_load_reported_at;
    /// When the evidence that a router of the record ended first appeared, by
    /// incarnation.
    std::map<std::string, ports::steady_time> m_ended_since;
    /// Since when the record differs from the one that this router would
    /// write.
    std::optional<ports::steady_time> m_record_outdated_since;
    std::optional<ports::steady_time> m_leases_read_at;
    std::optional<ports::steady_time> m_vms_read_at;
};

} // namespace turmeric::domain
