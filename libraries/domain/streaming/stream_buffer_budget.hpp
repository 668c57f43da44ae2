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

/// Limits of the bytes that are buffered for callers that read more slowly than
/// the upstreams send.
struct stream_buffer_limits
{
    std::size_t request_bytes = 16 << 10;
    std::size_t total_bytes = 64 << 20;
    /// A stream that was paused for this long is to be parked.
    std::chrono::milliseconds park_after{2'000};
    /// The highest number of parked streams; further slow readers are refused.
    std::size_t max_parked_streams = 4096;
    /// A stream that was parked for this long is to be ended.
    std::chrono::milliseconds max_park_time{120'000};
};

/// Whether to read on from an upstream.
enum class read_permission : std::uint8_t
{
    /// The bytes are reserved; read on.
    granted,
    /// Nothing is reserved; do not read until `release` has freed bytes.
    paused,
};

/// Limits the bytes that are buffered between upstreams and callers, for each
/// request and in total. Not thread safe.
class stream_buffer_budget
{
public:
    /// Not thread safe.
    explicit stream_buffer_budget(const stream_buffer_limits& limits);

    /// Opens a stream. Error `slow_reader_limit` (`not_run`): the bytes held in
    /// total leave less than `request_bytes` free. Precondition: `id` is not
    /// open. Not thread safe.
    status open(std::uint64_t id);

    /// Reserves `bytes` more before they are read from the upstream, or pauses
    /// the stream. Precondition: `id` is open; `bytes` is at most
    /// `request_bytes`. Not thread safe.
    read_permission reserve(std::uint64_t id, std::size_t bytes,
                            ports::steady_time now);

    /// Releases bytes that the caller has read. Precondition: they were
    /// reserved. Not thread safe.
    void release(std::uint64_t id, std::size_t bytes);

    /// Returns the streams that were paused for `park_after` or longer. For
    /// each of them, cancel the upstream call, drop the buffered bytes, call
    /// `park`, and resume after the last delivered token when the caller reads
    /// again. Not thread safe.
    [[nodiscard]] std::vector<std::uint64_t>
    streams_to_park(ports::steady_time now) const;

    /// Parks a stream and releases its bytes. Error `slow_reader_limit`
    /// (`outcome_unknown`): `max_parked_streams` streams are parked already;
    /// end the request. Precondition: `id` is open and not parked. Not thread
    /// safe.
    status park(std::uint64_t id, ports::steady_time now);

    /// Lets a parked stream read again. Precondition: `id` is parked. Not
    /// thread safe.
    void unpark(std::uint64_t id);

    /// Returns the streams that were parked for `max_park_time` or longer. End
    /// them with `slow_reader_limit`. Not thread safe.
    [[nodiscard]] std::vector<std::uint64_t>
    streams_to_end(ports::steady_time now) const;

    /// Closes a stream and releases its bytes. No precondition. Not thread
    /// safe.
    void close(std::uint64_t id);

    /// Returns the bytes reserved in total. Not thread safe.
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
