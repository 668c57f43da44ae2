#pragma once

#include "libraries/core/logger.hpp"
#include "libraries/core/result.hpp"
#include "libraries/drivers/threads/stop_signal.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/key_value_store.hpp"

#include <chrono>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace turmeric::drivers
{

/// The duty that a process contends for, and the times of its lease.
struct leadership_settings
{
    /// The name of the duty, such as "moves" or "budgets".
    std::string duty;
    /// This process's incarnation, unique for each start of a process.
    std::string holder;
    /// Time to live of the lease.
    std::chrono::seconds time_to_live{6};
    /// The leader stops leading this long before its lease can expire, as the
    /// clocks of leader and store may run at different rates.
    std::chrono::milliseconds safety_margin{1'500};
    /// Time between two renewals, or two attempts to become the leader. At a
    /// third of `time_to_live` less `safety_margin`, one renewal may fail.
    std::chrono::milliseconds renewal_interval{1'500};
};

/// Elects the leader of one duty by the key `leaders/{duty}`, bound to a lease.
/// At most one process leads a duty at a time, as each process counts the lease
/// by its own steady clock, from before the call that renewed it. Thread safe.
class leadership
{
public:
    /// Precondition: the referenced objects outlive this one; `safety_margin`
    /// is below `time_to_live`.
    leadership(ports::key_value_store& store, const ports::clock& clock,
               logger& log, leadership_settings settings);
    leadership(const leadership&) = delete;
    leadership& operator=(const leadership&) = delete;
    /// Stops the thread and releases the duty.
    ~leadership();

    /// Starts the thread that calls `step`. Precondition: not started before.
    void start();

    /// Stops the thread and revokes the lease, so that another process can
    /// lead at once. Thread safe; blocks.
    void stop();

    /// Returns the fencing number while this process leads and its lease cannot
    /// have expired, nothing otherwise. Call it before each action of the duty.
    /// Later leaders have higher numbers. Thread safe.
    [[nodiscard]] std::optional<ports::revision> fencing() const;

    /// Renews the lease or tries to become the leader, once. Called by the
    /// thread, or by tests without one. Thread safe except for concurrent calls
    /// of itself; blocks.
    void step();

private:
    void run();
    bool renew(ports::steady_time requested_at);
    bool obtain_lease(ports::steady_time requested_at);
    void contend();
    void resolve_uncertain_write();
    void become_leader(ports::revision fencing_number);
    void stop_leading(const std::string& reason);
    void extend_validity(ports::steady_time requested_at);

    ports::key_value_store& m_store;
    const ports::clock& m_clock;
    logger& m_log;
    leadership_settings m_settings;
    std::string m_key;
    stop_signal m_stop;
    std::thread m_thread;
    ports::lease_id m_lease = 0;

    mutable std::mutex m_mutex;
    ports::revision m_fencing = 0;
    ports::steady_time m_leads_until;
};

} // namespace turmeric::drivers
