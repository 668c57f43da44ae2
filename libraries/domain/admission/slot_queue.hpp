#pragma once

#include "libraries/ports/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace turmeric::domain
{

/// A request that waits for a slot at an upstream.
struct waiting_request
{
    /// Unique within the router.
    std::uint64_t id = 0;
    std::string service;
    /// 0 is the most urgent.
    std::int32_t urgency = 0;
    /// When the response, or the first event of a stream, must arrive to meet
    /// the route's latency objective.
    ports::steady_time due;
};

/// Queues the requests that wait for slots, for each service in the order of
/// urgency and then of due time. Keeps requests through short bursts in which
/// all slots are taken. Not thread safe.
class slot_queue
{
public:
    /// Adds a request. Precondition: no request with its id is queued.
    void add(const waiting_request& request);

    /// Removes a request; does nothing if it is not queued.
    void remove(std::uint64_t id);

    /// Returns the id of the first request in the queue of a service, or
    /// nothing if none is queued.
    [[nodiscard]] std::optional<std::uint64_t>
    next(const std::string& service) const;

    /// Returns the services for which requests are queued.
    [[nodiscard]] std::vector<std::string> services() const;

    /// Returns the number of queued requests of a service.
    [[nodiscard]] std::size_t size_of(const std::string& service) const;

    /// Returns the number of queued requests over all services.
    [[nodiscard]] std::size_t size() const;

private:
    /// Urgency, due time and request id.
    using queue_position =
        std::tuple<std::int32_t, ports::steady_time, std::uint64_t>;

    std::map<std::string, std::set<queue_position>> m_queues;
    std::map<std::uint64_t, waiting_request> m_requests;
};

} // namespace turmeric::domain
