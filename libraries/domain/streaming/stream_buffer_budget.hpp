#pragma once

#include "libraries/core/result.hpp"
#include "libraries/ports/clock.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace turmeric::domain
{

/// Bounds of what is held for readers that are slower than upstreams.
struct stream_buffer_limits
{
    std::size_t request_bytes = 16 << 10;
    std::size_t total_bytes = 64 << 20;
    /// A pause this long parks the stream.
    std::chrono::milliseconds park_after{2'000};
    /// The most parked streams; past it new slow readers are refused.
    std::size_t most_parked = 4096;
    /// A stream parked this long is given up.
    std::chrono::milliseconds longest_park{120'000};
};

/// What the reader of an upstream does next.
enum class read_permission : std::uint8_t
{
    /// The bytes are accounted for; read on.
    granted,
    /// Nothing was accounted for; do not read until `release` made room.
    paused,
};

/// Accounts for the bytes held between upstreams and callers, for each
/// request and in all. Not thread safe.
class stream_buffer_budget
{
public:
    /// Not thread safe.
    explicit stream_buffer_budget(const stream_buffer_limits& limits);

    /// Starts a stream. Error `slow_reader_limit` (`not_run`) when what is
    /// held in all leaves no room for another stream. Precondition: `id` is
    /// not open. Not thread safe.
    status open(std::uint64_t id);

    /// Asks to hold `bytes` more, before they are read from the upstream.
    /// Precondition: `id` is open; `bytes` is at most `request_bytes`. Not
    /// thread safe.
    read_permission reserve(std::uint64_t id, std::size_t bytes,
                            ports::steady_time now);

    /// Gives back bytes that the caller has taken. Precondition: they were
    /// reserved. Not thread safe.
    void release(std::uint64_t id, std::size_t bytes);

    /// Returns the streams paused for longer than `park_after`: cancel the
    /// upstream call, drop what is buffered, call `park`, and resume at the
    /// last delivered token when the caller reads again. Not thread safe.
    [[nodiscard]] std::vector<std::uint64_t>
    streams_to_park(ports::steady_time now) const;

    /// Parks a stream and frees its bytes. Error `slow_reader_limit`
    /// (`outcome_unknown`): too many are parked, end the request.
    /// Precondition: `id` is open and not parked. Not thread safe.
    status park(std::uint64_t id, ports::steady_time now);

    /// Makes a parked stream run again. Precondition: `id` is parked. Not
    /// thread safe.
    void unpark(std::uint64_t id);

    /// Returns the streams parked for longer than `longest_park`, which are
    /// to be ended with `slow_reader_limit`. Not thread safe.
    [[nodiscard]] std::vector<std::uint64_t>
    streams_to_end(ports::steady_time now) const;

    /// Ends a stream and frees its bytes. No precondition. Not thread safe.
    void close(std::uint64_t id);

    /// Returns the bytes held in all. Not thread safe.
    [[nodiscard]] std::size_t held() const;

    /// Returns how many streams are parked. Not thread safe.
    [[nodiscard]] std::size_t parked() const;

private:
    enum class phase : std::uint8_t
    {
        reading,
        paused,
        parked,
    };

    struct stream
    {
        std::size_t bytes = 0;
        phase state = phase::reading;
        ports::steady_time since{};
    };

    [[nodiscard]] std::vector<std::uint64_t>
    older_than(phase state, std::chrono::milliseconds age,
               ports::steady_time now) const;

    stream_buffer_limits m_limits;
    std::unordered_map<std::uint64_t, stream> m_streams;
    std::size_t m_held = 0;
    std::size_t m_parked = 0;
};

} // namespace turmeric::domain
