#pragma once

#include "libraries/core/logger.hpp"
#include "libraries/domain/budget/reclaim_rule.hpp"
#include "libraries/domain/membership/member.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/key_value_store.hpp"
#include "libraries/ports/vm_list.hpp"

#include <chrono>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace turmeric::controller
{

/// Settings of `fleet_monitor`.
struct fleet_monitor_settings
{
    /// How long a VM must be missing from the VM list to count as removed. Must
    /// be longer than the lag of the list.
    std::chrono::milliseconds vm_removed_after{60'000};
    /// How long a member without a lease is retained.
    std::chrono::milliseconds member_retention{std::chrono::hours(24)};
};

/// Tracks which routers hold a lease, and whether their VMs are still in the
/// VM list. Thread safe.
class fleet_monitor
{
public:
    /// Precondition: the references outlive this object.
    fleet_monitor(ports::key_value_store& store, ports::vm_list& vms,
                  const ports::clock& clock, fleet_monitor_settings settings);

    /// Reads the members and the VM list. Errors: those of the store. Thread
    /// safe; blocks.
    status refresh();

    /// Returns the members that hold a lease, as last read. Thread safe.
    [[nodiscard]] std::vector<domain::member> members() const;

    /// Returns the peer addresses of these members. Thread safe.
    [[nodiscard]] std::vector<std::string> peer_addresses() const;

    /// Returns the evidence on which the grants of an incarnation may be
    /// reclaimed. For an incarnation that was never observed, all of its fields
    /// are false. Thread safe.
    [[nodiscard]] domain::incarnation_evidence
    evidence_of(const std::string& incarnation) const;

private:
    struct observed_member
    {
        domain::member identity;
        bool has_lease = false;
        ports::steady_time last_seen_at;
    };

    void update_members(const ports::key_range& range, ports::steady_time now);
    void update_vms(const std::vector<ports::vm_entry>& listed,
                    ports::steady_time now);
    [[nodiscard]] bool has_vm_left(const std::string& vm,
                                   ports::steady_time now) const;
    [[nodiscard]] bool has_successor(const domain::member& identity) const;

    ports::key_value_store& m_store;
    ports::vm_list& m_vms;
    const ports::clock& m_clock;
    fleet_monitor_settings m_settings;
    mutable std::mutex m_mutex;
    std::map<std::string, observed_member> m_members;
    /// When each VM was last in the list.
    std::map<std::string, ports::steady_time> m_vm_last_listed_at;
    /// When the list was last read.
    ports::steady_time m_vms_read_at;
};

} // namespace turmeric::controller
