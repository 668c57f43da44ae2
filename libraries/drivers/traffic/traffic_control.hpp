#pragma once

#include "libraries/core/logger.hpp"
#include "libraries/domain/admission/admission_queue.hpp"
#include "libraries/domain/retry/retry_policy.hpp"
#include "libraries/domain/routing/upstream_selector.hpp"
#include "libraries/drivers/threads/control_thread.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/random_source.hpp"

#include <cstdint>
#include <functional>
#include <future>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace turmeric::drivers
{

/// The limits of a router's traffic.
struct traffic_limits
{
    domain::admission_limits admission;
    domain::selector_limits selector;
    domain::retry_limits retry;
};

/// Counts of the traffic at hand.
struct traffic_counts
{
    std::size_t waiting = 0;
    std::size_t waiting_bytes = 0;
    std::int64_t total_share = 0;
};

/// Owns the decisions about traffic on one control thread: who gets in, which
/// upstream serves, and what is repeated. Thread safe.
class traffic_control
{
public:
    /// Precondition: the references outlive this.
    traffic_control(const traffic_limits& limits, const ports::clock& clock,
                    ports::random_source& random, logger& log);

    traffic_control(const traffic_control&) = delete;
    traffic_control& operator=(const traffic_control&) = delete;

    /// Refuses who waits and ends the control thread.
    ~traffic_control();

    /// Waits for a slot at an upstream and takes it; give it back by
    /// `finish`. Excluded upstreams are taken when there is no other. The
    /// ticket's id is set here. Errors, all `not_run`: those of
    /// `domain::admission_queue`, `no_upstream`, `router_stopping`. Thread
    /// safe; blocks for as long as the queue allows.
    result<domain::upstream_choice> admit(domain::admission_ticket ticket,
                                          domain::choice_request choice);

    /// Gives a slot back and tells how the call went. Thread safe.
    void finish(const domain::upstream_choice& choice,
                domain::call_result outcome);

    /// Counts a first attempt towards the retry budgets. Thread safe.
    void record_request(const std::string& account,
                        const std::string& upstream);

    /// Decides what follows a failed attempt. Thread safe; blocks shortly.
    domain::retry_decision decide(const domain::failed_attempt& attempt);

    /// Takes the declared upstreams and this router's shares of them. Thread
    /// safe.
    void update_capacity(domain::capacity_plan plan);

    /// Takes a load report. Thread safe.
    void update_load(domain::load_report report);

    /// Gives an upstream no new work. Thread safe.
    void mark_leaving(const std::string& upstream);

    /// Returns the epoch that this router keeps to; to be called regularly.
    /// Thread safe; blocks shortly.
    domain::epoch_number acknowledge();

    /// Returns counts. Thread safe; blocks shortly.
    traffic_counts counts();

private:
    using admit_promise = std::promise<result<domain::upstream_choice>>;

    struct waiter
    {
        domain::choice_request choice;
        admit_promise* promise = nullptr;
    };

    void start_admission(domain::admission_ticket ticket,
                         const domain::choice_request& choice,
                         admit_promise& promise);
    result<domain::upstream_choice> choose(const domain::choice_request& choice,
                                           ports::steady_time now);
    void serve_lane(const std::string& lane);
    void serve_all_lanes();
    void refuse_overdue();

    const ports::clock& m_clock;
    logger& m_log;
    domain::upstream_selector m_selector;
    domain::admission_queue m_queue;
    domain::retry_policy m_retry;
    std::unordered_map<std::uint64_t, waiter> m_waiters;
    std::uint64_t m_next_ticket = 1;
    bool m_is_stopping = false;
    // Last, so that its thread ends before the state that it owns.
    control_thread m_control;
};

} // namespace turmeric::drivers
