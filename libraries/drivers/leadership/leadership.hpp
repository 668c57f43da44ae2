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

/// Which duty a process contends for, and under what terms.
struct leadership_settings
{
    /// Such as "moves" or "budgets".
    std::string duty;
    /// This process's incarnation, unique for each start.
    std::string holder;
    std::chrono::seconds time_to_live{6};
    /// The leader stops acting this long before its lease can lapse, for
    /// clocks that run at different rates.
    std::chrono::milliseconds safety_margin{1'500};
    /// Time between attempts to lead or renewals; a third of the lease lets
    /// one renewal fail.
    std::chrono::milliseconds renewal_interval{1'500};
};

/// Contends for `leaders/{duty}` under a lease. At most one process leads a
/// duty at a time, as each measures its lease by its own steady clock from
/// before the call that renewed it. Thread safe.
class leadership
{
public:
    /// Precondition: the references outlive this object; `margin` is below
    /// `time_to_live`.
    leadership(ports::key_value_store& store, const ports::clock& clock,
               logger& log, leadership_settings settings);
    leadership(const leadership&) = delete;
    leadership& operator=(const leadership&) = delete;
    /// Stops the thread and gives the duty up.
    ~leadership();

    /// Starts the thread that contends and renews. Precondition: not
    /// started before.
    void start();

    /// Stops the thread and gives the duty up, so that another process can
    /// lead at once. Thread safe; blocks.
    void stop();

    /// Returns the fencing number while this process leads and its lease
    /// cannot have lapsed; ask before each act. Later leaders have higher
    /// numbers. Thread safe.
    [[nodiscard]] std::optional<ports::revision> fencing() const;

    /// Contends or renews once. The thread calls it; tests may instead.
    /// Thread safe but for concurrent calls of itself; blocks.
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
