#pragma once

#include "libraries/core/logger.hpp"
#include "libraries/domain/membership/membership_view.hpp"
#include "libraries/drivers/membership/member_lease.hpp"
#include "libraries/drivers/membership/membership_settings.hpp"
#include "libraries/drivers/threads/stop_signal.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/key_value_store.hpp"
#include "libraries/ports/peer.hpp"
#include "libraries/ports/vm_list.hpp"

#include <cstddef>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace turmeric::drivers
{

/// The membership and the VM list at one time.
struct published_membership
{
    domain::membership_snapshot view;
    std::vector<ports::vm_entry> vms;
};

/// Maintains this router's view of the fleet, with one thread that calls the
/// platform and several that exchange heartbeats. All public member functions
/// except `start`, `stop` and `run_platform_round` are thread safe.
class membership_service
{
public:
    /// Precondition: the referenced objects outlive this one.
    membership_service(const domain::member& self,
                       const membership_settings& settings,
                       ports::key_value_store& store, ports::vm_list& vms,
                       ports::peer_caller& peers, const ports::clock& clock,
                       logger& log);
    membership_service(const membership_service&) = delete;
    membership_service& operator=(const membership_service&) = delete;
    ~membership_service();

    /// Starts the threads. Precondition: not started. Not thread safe.
    void start();

    /// Joins the threads, notifies the peers that this router stopped and
    /// revokes its lease; does nothing when not started. Precondition: this
    /// router runs no request at an upstream. Not thread safe.
    void stop();

    /// Sets the state that this router reports; an earlier state than the
    /// present one is ignored. Thread safe.
    void set_state(domain::member_state state);
    /// Sets the number of requests that this router may run at all upstreams
    /// together; locate derives the router's weight from it. Thread safe.
    void set_share(std::int64_t share);
    /// Sets the number of requests that this router runs or queues. Thread
    /// safe.
    void set_load(std::int64_t load);
    /// Sets the epoch that this router acknowledges: it runs no request beyond
    /// its shares of that epoch. Thread safe.
    void set_acknowledged(domain::epoch_number number);
    /// Sets the configuration in force at this router. Thread safe.
    void set_configuration(std::int64_t version, const std::string& digest);

    /// Returns the snapshot published last; never null. Thread safe.
    [[nodiscard]] std::shared_ptr<const published_membership> snapshot() const;

    /// Processes a peer's `heartbeat` message and returns the response; the
    /// handler for messages of that kind. Error: `peer_protocol`. Thread safe.
    result<std::string> handle(const ports::peer_message& message);

    /// Makes the platform calls that are due; one iteration of the platform
    /// thread. Blocks for platform calls. Precondition: no other thread is in
    /// this function.
    void run_platform_round();

    /// Exchanges heartbeats with every `stride`-th peer from `offset` on; one
    /// iteration of a heartbeat thread. The round with offset 0 also advances
    /// the view and publishes a snapshot. Blocks for peer calls. Thread safe.
    void run_heartbeat_round(std::size_t offset, std::size_t stride);

private:
    void run_platform();
    void run_heartbeats(std::size_t thread_index);
    void exchange_heartbeats(const domain::member& peer);
    [[nodiscard]] std::vector<domain::member> peers_now();
    void read_members(ports::steady_time now);
    void read_vms(ports::steady_time now);
    void read_epochs();
    void write_epochs(ports::steady_time now);
    void publish(ports::steady_time now);
    void log_changes(const domain::membership_snapshot& next);
    void log_platform_change(const status& outcome);
    [[nodiscard]] std::chrono::milliseconds
    scaled_poll_interval(std::chrono::milliseconds base,
                         std::chrono::milliseconds per_router) const;

    domain::member m_self;
    membership_settings m_settings;
    ports::key_value_store& m_store;
    ports::vm_list& m_vm_list;
    ports::peer_caller& m_peer_caller;
    const ports::clock& m_clock;
    logger& m_log;

    /// Guards the members below, up to `m_eligible`.
    mutable std::mutex m_mutex;
    domain::membership_view m_view;
    domain::member_state m_state = domain::member_state::live;
    std::vector<ports::vm_entry> m_vm_entries;
    std::shared_ptr<const published_membership> m_published;
    std::set<std::string> m_eligible;

    // Used by the platform thread only.
    member_lease m_lease;
    std::optional<ports::steady_time> m_members_read_at;
    std::optional<ports::steady_time> m_vms_read_at;
    bool m_is_record_read = false;
    ports::revision m_record_key_revision = 0;
    bool m_is_platform_down = false;

    stop_signal m_stop;
    std::vector<std::thread> m_threads;
};

} // namespace turmeric::drivers
