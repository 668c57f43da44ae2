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

/// Counts of the present traffic, for metrics.
struct traffic_counts
{
    /// Requests that wait for a slot.
    std::size_t waiting = 0;
    /// Memory that they occupy.
    std::size_t waiting_bytes = 0;
    /// Slots of all upstreams that this router may use.
    std::int64_t total_share = 0;
};

/// Makes all decisions about traffic on one control thread: which requests are
/// admitted, which upstream serves them, and which are retried. Thread safe.
class traffic_control
{
public:
    /// Precondition: the referenced objects outlive this object.
    traffic_control(const traffic_limits& limits, const ports::clock& clock,
                    ports::random_source& random, logger& log);

    traffic_control(const traffic_control&) = delete;
    traffic_control& operator=(const traffic_control&) = delete;

    /// Refuses the waiting requests and ends the control thread.
    ~traffic_control();

    /// Waits for a slot at an upstream and reserves it; `finish` releases it.
    /// Excluded upstreams are used only if there is no other. Sets the
    /// ticket's id. Errors, all `not_run`: those of `domain::admission_queue`,
    /// `no_upstream`, `router_stopping`. Thread safe; blocks for at most the
    /// time limit of the queue.
    result<domain::upstream_choice> admit(domain::admission_ticket ticket,
                                          domain::choice_request choice);

    /// Releases a slot and records the result of the call. Thread safe.
    void finish(const domain::upstream_choice& choice,
                domain::call_result outcome);

    /// Counts a first attempt towards the retry budgets. Thread safe.
    void record_request(const std::string& account,
                        const std::string& upstream);

    /// Decides whether a failed attempt is retried. Thread safe; blocks
    /// briefly.
    domain::retry_decision decide(const domain::failed_attempt& attempt);

    /// Sets the declared upstreams and this router's shares of them. Thread
    /// safe.
    void update_capacity(domain::capacity_plan plan);

    /// Sets the last load report of an upstream. Thread safe.
    void update_load(domain::load_report report);

    /// Sends no new requests to an upstream until it is declared with another
    /// address. Thread safe.
    void mark_leaving(const std::string& upstream);

    /// Returns the newest epoch in which this router was found to hold no slot
    /// beyond its shares. Call it regularly. Thread safe; blocks briefly.
    domain::epoch_number acknowledge();

    /// Returns the present counts. Thread safe; blocks briefly.
    traffic_counts counts();

private:
    using admit_promise = std::promise<result<domain::upstream_choice>>;

    /// The caller's thread waits in `admit` for the promise.
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
    void refuse_expired();

    const ports::clock& m_clock;
    logger& m_log;
    domain::upstream_selector m_selector;
    domain::admission_queue m_queue;
    domain::retry_policy m_retry;
    std::unordered_map<std::uint64_t, waiter> m_waiters;
    std::uint64_t m_next_ticket = 1;
    bool m_is_stopping = false;
    // The last member, so that its thread ends before the members that it
    // uses are destroyed.
    control_thread m_control;
};

} // namespace turmeric::drivers
