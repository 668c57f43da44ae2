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

/// How long a fleet watch remembers and waits.
struct fleet_monitor_settings
{
    /// How long a VM must be missing from the list to count as gone; more
    /// than the list's lag.
    std::chrono::milliseconds vm_gone_after{60'000};
    /// Members without a lease are forgotten after this.
    std::chrono::milliseconds member_retention{std::chrono::hours(24)};
};

/// Knows the routers from their leases, and whether their VMs are still
/// listed. Thread safe.
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

    /// Returns their peer addresses. Thread safe.
    [[nodiscard]] std::vector<std::string> peer_addresses() const;

    /// Returns what is known of an incarnation for the reclaim of its
    /// grants; one that was never seen has no evidence against it. Thread
    /// safe.
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
    /// When each VM was last listed, and when the list was last read.
    std::map<std::string, ports::steady_time> m_vm_last_listed_at;
    ports::steady_time m_vms_read_at;
};

} // namespace turmeric::controller
