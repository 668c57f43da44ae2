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

/// A request that waits for a place at an upstream.
struct waiting_request
{
    /// Unique within the router.
    std::uint64_t id = 0;
    std::string service;
    /// 0 is the most urgent.
    std::int32_t urgency = 0;
    /// When the answer stops being on time.
    ports::steady_time due;
};

/// Requests that wait for places, by service: the more urgent first, and
/// among those the one that is due first. Answers bursts that fill all
/// places for a moment. Not thread safe.
class slot_queue
{
public:
    /// Adds a request. Precondition: its id does not wait.
    void add(const waiting_request& request);

    /// Takes a request out; without effect if it does not wait.
    void remove(std::uint64_t id);

    /// Returns the request of a service that is next, if any waits.
    [[nodiscard]] std::optional<std::uint64_t>
    next(const std::string& service) const;

    /// Returns the services that requests wait for.
    [[nodiscard]] std::vector<std::string> services() const;

    /// Returns how many requests wait.
    [[nodiscard]] std::size_t size() const;

private:
    using place = std::tuple<std::int32_t, ports::steady_time, std::uint64_t>;

    std::map<std::string, std::set<place>> m_lines;
    std::map<std::uint64_t, waiting_request> m_requests;
};

} // namespace turmeric::domain
