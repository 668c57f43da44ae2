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

/// Where an answer comes from, known with its first piece.
struct relayed_response_head
{
    int status = 0;
    std::string content_type;
    std::string version;
    std::string upstream;
};

/// What ended an answer well; known when its bill is durable.
struct response_end
{
    domain::tokens billed = 0;
    domain::tokens prompt_tokens = 0;
    domain::tokens completion_tokens = 0;
    domain::tokens cached_tokens = 0;
    std::string finish_reason;
};

/// What a reader gets next.
struct response_part
{
    std::vector<std::string> pieces;
    /// Set with the last pieces of a whole answer.
    std::optional<response_end> end;
    /// Set when the answer ends early.
    std::optional<error> failure;
    /// A newer reader of the same request has taken over.
    bool is_superseded = false;
};

/// The answer to one request, written by one thread and read by another. It
/// keeps all pieces, so that a repeated request can read it from its start.
/// Thread safe.
class response_buffer
{
public:
    /// Bounds what is written ahead of the reader.
    explicit response_buffer(std::size_t max_unread_bytes);

    /// Sets the head. Precondition: no piece is written yet. Thread safe.
    void set_head(relayed_response_head head);

    /// Adds a piece. Blocks while the reader is behind by the bound, for up
    /// to `patience`. Returns false when the answer was cancelled or the
    /// patience ended: nothing was added then. Thread safe.
    bool append(const std::string& piece, std::chrono::milliseconds timeout);

    /// Waits until the reader has caught up to half of the bound. Returns
    /// false when cancelled or `patience` ended. Thread safe.
    bool wait_for_reader(std::chrono::milliseconds timeout);

    /// Ends the answer well. Thread safe.
    void finish(response_end end);

    /// Ends the answer early. Thread safe.
    void fail(error failure);

    /// Tells the writer that nobody wants the answer any more, if `reader`
    /// is the newest one. Thread safe.
    void cancel(std::uint64_t reader);

    /// Tells whether the answer was cancelled. Thread safe.
    [[nodiscard]] bool is_cancelled() const;

    /// Starts to read at the first piece and returns the reader's number; an
    /// earlier reader is superseded. Thread safe.
    std::uint64_t attach_reader();

    /// Waits for the head, the end or the failure. Thread safe; blocks.
    [[nodiscard]] std::optional<error> wait_for_head();

    /// Returns the head. Precondition: it is set. Thread safe.
    [[nodiscard]] relayed_response_head head() const;

    /// The most pieces that one read returns, so that what a reader makes of
    /// them is bounded while it blocks.
    static constexpr std::size_t max_pieces_per_read = 32;

    /// Waits up to `wait` for pieces after those read so far; none come back
    /// when the wait ended first. Thread safe; blocks.
    response_part read(std::uint64_t reader, std::chrono::milliseconds wait);

    /// Tells whether the answer ended, well or not. Thread safe.
    [[nodiscard]] bool is_ended() const;

    /// Returns the failure, if the answer ended early. Thread safe.
    [[nodiscard]] std::optional<error> failure() const;

    /// Returns the number of pieces written. Thread safe.
    [[nodiscard]] std::size_t piece_count() const;

    /// Returns the bytes of all pieces. Thread safe.
    [[nodiscard]] std::size_t byte_count() const;

    /// Returns the bytes written and not yet read. Thread safe.
    [[nodiscard]] std::size_t unread_bytes() const;

private:
    [[nodiscard]] std::size_t unread_bytes_locked() const;

    const std::size_t m_max_unread_bytes;
    mutable std::mutex m_mutex;
    std::condition_variable m_written;
    std::condition_variable m_read;
    std::optional<relayed_response_head> m_head;
    std::string m_text;
    /// The end of each piece within the text.
    std::vector<std::uint32_t> m_piece_ends;
    std::size_t m_pieces_read = 0;
    std::uint64_t m_newest_reader = 0;
    std::optional<response_end> m_end;
    std::optional<error> m_failure;
    bool m_is_cancelled = false;
};

} // namespace turmeric::drivers
