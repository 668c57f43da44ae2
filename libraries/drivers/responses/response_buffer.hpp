#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/configuration/declarations.hpp"

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace turmeric::drivers
{

/// The head of a relayed response. Available no later than the first piece.
struct relayed_response_head
{
    int status = 0;
    std::string content_type;
    /// Version of the service that produced the response.
    std::string version;
    /// Name of the upstream that produced the response.
    std::string upstream;
};

/// The billing data and finish reason of a complete response. Available once
/// its bill is durable.
struct response_end
{
    domain::tokens billed = 0;
    domain::tokens prompt_tokens = 0;
    domain::tokens completion_tokens = 0;
    domain::tokens cached_tokens = 0;
    std::string finish_reason;
};

/// The result of one read.
struct response_part
{
    std::vector<std::string> pieces;
    /// Set with the last pieces of a complete response.
    std::optional<response_end> end;
    /// Set when the response was truncated.
    std::optional<error> failure;
    /// A newer reader of the same request has attached; this one gets nothing
    /// more.
    bool is_superseded = false;
};

/// Buffers the response to one request, written by one thread and read by
/// another. Keeps all pieces, so that a repeated request can read the response
/// from its start. Thread safe.
class response_buffer
{
public:
    /// `max_unread_bytes` is the number of unread bytes at which the writer
    /// blocks.
    explicit response_buffer(std::size_t max_unread_bytes);

    /// Sets the head. Precondition: no piece is written yet. Thread safe.
    void set_head(relayed_response_head head);

    /// Adds a piece. Blocks while the limit of unread bytes is reached, for
    /// `timeout` at most. Returns false without adding the piece when the
    /// response was cancelled or the timeout expired. Thread safe.
    bool append(const std::string& piece, std::chrono::milliseconds timeout);

    /// Waits until the unread bytes have fallen to half their limit. Returns
    /// false when the response was cancelled or `timeout` expired. Thread safe.
    bool wait_for_reader(std::chrono::milliseconds timeout);

    /// Marks the response as complete. Precondition: it has not ended yet.
    /// Thread safe.
    void finish(response_end end);

    /// Marks the response as truncated. Precondition: it has not ended yet.
    /// Thread safe.
    void fail(error failure);

    /// Cancels a response that has not ended, if `reader` is the newest reader,
    /// and wakes a blocked writer. Thread safe.
    void cancel(std::uint64_t reader);

    /// Returns whether the response was cancelled. Thread safe.
    [[nodiscard]] bool is_cancelled() const;

    /// Adds a reader that starts at the first piece, and returns its number.
    /// Earlier readers are superseded. Thread safe.
    std::uint64_t attach_reader();

    /// Waits until the head is set or the response has ended. Returns the
    /// failure of a response that ended without a head. Thread safe; blocks.
    [[nodiscard]] std::optional<error> wait_for_head();

    /// Returns the head. Precondition: it is set. Thread safe.
    [[nodiscard]] relayed_response_head head() const;

    /// The maximum number of pieces in one read. It bounds the memory of a
    /// reader that blocks while it sends them on.
    static constexpr std::size_t max_pieces_per_read = 32;

    /// Returns the pieces after those read so far, waiting for them for `wait`
    /// at most. Returns no pieces when the wait times out. Thread safe; blocks.
    response_part read(std::uint64_t reader, std::chrono::milliseconds wait);

    /// Returns whether the response has ended, complete or truncated. Thread
    /// safe.
    [[nodiscard]] bool is_ended() const;

    /// Returns the failure of a truncated response. Thread safe.
    [[nodiscard]] std::optional<error> failure() const;

    /// Returns the number of pieces written. Thread safe.
    [[nodiscard]] std::size_t piece_count() const;

    /// Returns the total size of all pieces. Thread safe.
    [[nodiscard]] std::size_t byte_count() const;

    /// Returns the number of bytes written but not yet read. Thread safe.
    [[nodiscard]] std::size_t unread_bytes() const;

private:
    [[nodiscard]] std::size_t unread_bytes_locked() const;

    const std::size_t m_max_unread_bytes;
    mutable std::mutex m_mutex;
    std::condition_variable m_written;
    std::condition_variable m_read;
    std::optional<relayed_response_head> m_head;
    std::string m_text;
    /// The offset in `m_text` at which each piece ends.
    std::vector<std::uint32_t> m_piece_ends;
    std::size_t m_pieces_read = 0;
    std::uint64_t m_newest_reader = 0;
    std::optional<response_end> m_end;
    std::optional<error> m_failure;
    bool m_is_cancelled = false;
};

} // namespace turmeric::drivers
