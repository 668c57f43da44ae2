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

/// The membership and the VM list as of one time.
struct published_membership
{
    domain::membership_snapshot view;
    std::vector<ports::vm_entry> vms;
};

/// Runs membership: one thread for the platform, some for heartbeats. All
/// public methods but `start` and `stop` are thread safe.
class membership_service
{
public:
    /// Precondition: the references outlive it.
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

    /// Tells the peers that this router stopped, gives its lease back and
    /// joins the threads; does nothing when not started. Precondition: no
    /// request is held at an upstream. Not thread safe.
    void stop();

    /// Sets what this router says of itself. Thread safe.
    void set_state(domain::member_state state);
    /// Sets this router's weight in locate answers. Thread safe.
    void set_share(std::int64_t share);
    /// Sets the requests that this router holds or keeps waiting. Thread
    /// safe.
    void set_load(std::int64_t load);
    /// Sets the epoch that this router keeps to. Thread safe.
    void set_acknowledged(domain::epoch_number number);
    /// Sets the configuration in force here. Thread safe.
    void set_configuration(std::int64_t version, const std::string& digest);

    /// Returns the newest snapshot; never null. Thread safe.
    [[nodiscard]] std::shared_ptr<const published_membership> snapshot() const;

    /// Answers a peer's `heartbeat` message; the handler for that kind.
    /// Error `peer_protocol`. Thread safe.
    result<std::string> handle(const ports::peer_message& message);

    /// Does what is due towards the platform once; the platform thread's
    /// step. Blocks for platform calls. Called by one thread at a time.
    void run_platform_round();

    /// Exchanges heartbeats with every `stride`-th peer from `offset` on; a
    /// heartbeat thread's step. Blocks for peer calls. Thread safe.
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

    /// Guards the view, the snapshot and the VM rows.
    mutable std::mutex m_mutex;
    domain::membership_view m_view;
    domain::member_state m_state = domain::member_state::live;
    std::vector<ports::vm_entry> m_vm_entries;
    std::shared_ptr<const published_membership> m_published;
    std::set<std::string> m_eligible;

    // Touched by the platform thread alone.
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
