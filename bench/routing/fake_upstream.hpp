#pragma once

#include "libraries/domain/routing/choice.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <unordered_map>

namespace turmeric::bench
{

/// A request that an upstream runs or queues.
struct upstream_request
{
    std::size_t router = 0;
    std::size_t upstream = 0;
    std::uint64_t prefix = 0;
    double arrived_ms = 0;
    double decode_ms = 0;
};

/// Simulates an engine: runs requests up to its capacity, queues the rest in
/// order of arrival, and caches the most recently used prefixes. Not thread
/// safe.
class fake_upstream
{
public:
    /// Makes an idle upstream with an empty cache of `cached_prefixes` entries.
    /// Not thread safe.
    fake_upstream(std::int32_t capacity, std::size_t cached_prefixes);

    /// Starts the request or queues it; returns whether it started. Not thread
    /// safe.
    bool accept(const upstream_request& request);

    /// Ends a running request and returns the queued request that starts in its
    /// slot, if any. Not thread safe.
    std::optional<upstream_request> finish();

    /// Looks the prefix up in the cache and makes it the most recently used;
    /// returns whether it was cached. Not thread safe.
    bool touch(std::uint64_t prefix);

    /// Returns the number of requests, running and queued. Not thread safe.
    [[nodiscard]] std::int64_t held() const;

    /// Returns the number of queued requests. Not thread safe.
    [[nodiscard]] std::int64_t waiting() const;

private:
    std::int64_t m_capacity;
    std::size_t m_cached_prefixes;
    std::int64_t m_running = 0;
    std::deque<upstream_request> m_queue;
    std::list<std::uint64_t> m_recent_prefixes;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        m_prefix_positions;
};

} // namespace turmeric::bench
