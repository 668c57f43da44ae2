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

/// Limits of the queue of waiting requests.
struct admission_limits
{
    std::size_t account_requests = 256;
    std::size_t account_bytes = 8 << 20;
    std::size_t total_requests = 2048;
    std::size_t total_bytes = 32 << 20;
    std::chrono::milliseconds max_wait{5'000};
};

/// What the admission queue needs of a request.
struct admission_ticket
{
    /// Unique within the router.
    std::uint64_t id = 0;
    std::string account;
    /// Share relative to other accounts; 1 or more.
    std::int32_t weight = 1;
    /// Among requests of one account the smallest number is served first.
    std::int32_t priority = 0;
    /// Requests of one lane compete for the same slots; a lane is, for
    /// example, a model version.
    std::string lane;
    /// Expected work in tokens; 1 or more.
    std::int64_t cost = 1;
    /// Memory that the request occupies while it waits.
    std::size_t bytes = 0;
    std::optional<ports::steady_time> deadline;
};

/// The result of offering a ticket that was not refused.
enum class admission : std::uint8_t
{
    admitted,
    queued,
};

/// A ticket that was removed from the queue because its time ran out, with
/// the error for its caller.
struct refused_ticket
{
    admission_ticket ticket;
    error failure;
};

/// Queues requests that wait for a slot. Limits their count and bytes for each
/// account and in total, and the time that each request waits. Serves the
/// accounts of a lane in proportion to their weights by start-time fair
/// queueing. Every refusal is `not_run`. Not thread safe.
class admission_queue
{
public:
    /// Not thread safe.
    explicit admission_queue(const admission_limits& limits);

    /// Offers a ticket: it is admitted if `has_slot` and no ticket of its lane
    /// waits, otherwise queued. Errors: `queue_full` with the exceeded limit in
    /// `field`, `deadline_exceeded`. Precondition: no ticket with this id
    /// waits. Not thread safe.
    result<admission> offer(const admission_ticket& ticket, bool has_slot,
                            ports::steady_time now);

    /// Removes and returns the next ticket of `lane` that has not expired, or
    /// nothing if there is none. Precondition: the caller has a slot for it.
    /// Not thread safe.
    std::optional<admission_ticket> next(const std::string& lane,
                                         ports::steady_time now);

    /// Removes and returns the expired tickets, each with `queue_timeout` or
    /// `deadline_exceeded`. Not thread safe.
    std::vector<refused_ticket> expire(ports::steady_time now);

    /// Removes a ticket whose caller disconnected; returns false if it was not
    /// queued. Not thread safe.
    bool cancel(std::uint64_t id);

    /// Returns the number of waiting tickets. Not thread safe.
    [[nodiscard]] std::size_t size() const;

    /// Returns the memory that waiting tickets occupy. Not thread safe.
    [[nodiscard]] std::size_t bytes() const;

    /// Returns the lanes in which tickets wait. Not thread safe.
    [[nodiscard]] std::vector<std::string> lanes() const;

private:
    struct waiting_ticket
    {
        admission_ticket ticket;
        ports::steady_time expires;
    };

    /// Priority, then arrival number.
    using queue_position = std::pair<std::int32_t, std::uint64_t>;

    /// The tickets of one account in one lane.
    struct flow
    {
        std::map<queue_position, waiting_ticket> waiting;
        /// Virtual time at which the work that was served for the account
        /// ends.
        double finish = 0;
    };

    struct lane_state
    {
        std::map<std::string, flow> flows;
        double virtual_time = 0;
        std::size_t waiting = 0;
    };

    struct account_usage
    {
        std::size_t requests = 0;
        std::size_t bytes = 0;
    };

    struct location
    {
        std::string lane;
        std::string account;
        queue_position position;
        ports::steady_time expires;
    };

    [[nodiscard]] std::optional<error>
    check_limits(const admission_ticket& ticket, ports::steady_time now) const;
    [[nodiscard]] ports::steady_time expiry_of(const admission_ticket& ticket,
                                               ports::steady_time now) const;
    void charge(lane_state& lane, const admission_ticket& ticket);
    admission_ticket remove(std::uint64_t id);
    static void remove_idle_flows(lane_state& lane);
    [[nodiscard]] std::optional<std::uint64_t>
    find_next(const lane_state& lane, ports::steady_time now) const;

    admission_limits m_limits;
    std::map<std::string, lane_state> m_lanes;
    std::map<std::string, account_usage> m_accounts;
    std::map<std::uint64_t, location> m_locations;
    std::set<std::pair<ports::steady_time, std::uint64_t>> m_expiries;
    std::size_t m_bytes = 0;
    std::uint64_t m_arrivals = 0;
};

} // namespace turmeric::domain
