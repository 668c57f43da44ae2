#pragma once

#include "libraries/core/result.hpp"
#include "libraries/ports/clock.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace turmeric::domain
{

/// Bounds of the queue of waiting requests.
struct admission_limits
{
    std::size_t account_requests = 256;
    std::size_t account_bytes = 8 << 20;
    std::size_t total_requests = 2048;
    std::size_t total_bytes = 32 << 20;
    std::chrono::milliseconds longest_wait{5'000};
};

/// A request that asks to run.
struct admission_ticket
{
    /// Unique within the router.
    std::uint64_t id = 0;
    std::string account;
    /// Share relative to other accounts; 1 or more.
    std::int32_t weight = 1;
    /// A smaller number of the same account is served sooner.
    std::int32_t priority = 0;
    /// What competes for the same slots, such as a version.
    std::string lane;
    /// Work asked for, in tokens; 1 or more.
    std::int64_t cost = 1;
    /// Memory held while it waits.
    std::size_t bytes = 0;
    std::optional<ports::steady_time> deadline;
};

/// What became of an offered ticket.
enum class admission : std::uint8_t
{
    admitted,
    queued,
};

/// A ticket that left the queue without running.
struct refused_ticket
{
    admission_ticket ticket;
    error failure;
};

/// Holds requests that wait for a slot: bounded in count, bytes and time for
/// each account and in all, weighted fair between the accounts of a lane by
/// start-time fair queueing. Every refusal is `not_run`. Not thread safe.
class admission_queue
{
public:
    /// Not thread safe.
    explicit admission_queue(const admission_limits& limits);

    /// Offers a ticket: admitted when `has_slot` and nobody of its lane
    /// waits, else queued. Errors: `queue_full` naming the bound in `field`,
    /// `deadline_exceeded`. Precondition: the id is not waiting. Not thread
    /// safe.
    result<admission> offer(const admission_ticket& ticket, bool has_slot,
                            ports::steady_time now);

    /// Takes the next ticket of `lane` that is not overdue, or nothing.
    /// Precondition: the caller has a slot for it. Not thread safe.
    std::optional<admission_ticket> next(const std::string& lane,
                                         ports::steady_time now);

    /// Takes out the overdue: `queue_timeout` or `deadline_exceeded`. Not
    /// thread safe.
    std::vector<refused_ticket> expire(ports::steady_time now);

    /// Takes out a ticket whose caller has gone; tells whether it waited.
    /// Not thread safe.
    bool cancel(std::uint64_t id);

    /// Returns how many tickets wait. Not thread safe.
    [[nodiscard]] std::size_t size() const;

    /// Returns the bytes that waiting tickets hold. Not thread safe.
    [[nodiscard]] std::size_t bytes() const;

    /// Returns the lanes in which tickets wait. Not thread safe.
    [[nodiscard]] std::vector<std::string> lanes() const;

private:
    struct waiting_ticket
    {
        admission_ticket ticket;
        ports::steady_time expires;
    };

    /// Priority first, then order of arrival.
    using place = std::pair<std::int32_t, std::uint64_t>;

    struct flow
    {
        std::map<place, waiting_ticket> waiting;
        /// Virtual time at which the account's served work ends.
        double finish = 0;
    };

    struct lane_state
    {
        std::map<std::string, flow> flows;
        double virtual_time = 0;
        std::size_t waiting = 0;
    };

    struct account_use
    {
        std::size_t requests = 0;
        std::size_t bytes = 0;
    };

    struct location
    {
        std::string lane;
        std::string account;
        place at;
        ports::steady_time expires;
    };

    [[nodiscard]] std::optional<error>
    find_refusal(const admission_ticket& ticket, ports::steady_time now) const;
    [[nodiscard]] ports::steady_time expiry_of(const admission_ticket& ticket,
                                               ports::steady_time now) const;
    void charge(lane_state& lane, const admission_ticket& ticket);
    admission_ticket take(std::uint64_t id);
    static void forget_idle_flows(lane_state& lane);
    [[nodiscard]] std::optional<std::uint64_t>
    fairest(const lane_state& lane, ports::steady_time now) const;

    admission_limits m_limits;
    std::map<std::string, lane_state> m_lanes;
    std::map<std::string, account_use> m_accounts;
    std::map<std::uint64_t, location> m_locations;
    std::set<std::pair<ports::steady_time, std::uint64_t>> m_expiries;
    std::size_t m_bytes = 0;
    std::uint64_t m_arrivals = 0;
};

} // namespace turmeric::domain
