#pragma once

#include "libraries/adapters/asio/asio.hpp"
#include "libraries/adapters/asio/caller_server.hpp"
#include "libraries/adapters/asio/growing_body.hpp"
#include "libraries/adapters/asio/http_serialization.hpp"
#include "libraries/adapters/asio/one_shot_timer.hpp"
#include "libraries/adapters/asio/read_buffer.hpp"
#include "libraries/core/memory_budget.hpp"
#include "libraries/ports/caller_channel.hpp"

#include <boost/beast/http.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace turmeric::adapters
{

/// One connection from a caller. Handles its requests one after the other, and
/// goes on reading while a request is handled to detect that the caller closes
/// the connection. Used on the thread of its event loop only.
class caller_connection final
    : public std::enable_shared_from_this<caller_connection>
{
public:
    /// Precondition: `server` outlives the connection.
    caller_connection(caller_server& server, tcp::socket socket);

    /// Starts to read requests. Precondition: not called before.
    void start();

    /// Returns whether bytes of a response are not written yet.
    [[nodiscard]] bool has_unwritten_bytes() const;

    /// Returns how many bytes of further requests the caller has sent before
    /// the response to the present one.
    [[nodiscard]] std::size_t bytes_sent_ahead() const;

    /// Returns whether the caller has never sent anything.
    [[nodiscard]] bool is_unused() const;

    /// Returns when the connection was accepted.
    [[nodiscard]] ports::steady_time accepted_at() const;

    /// Closes the connection if its caller has read nothing of a response for
    /// too long.
    void close_if_unread();

    /// Closes the connection to free its memory or its descriptor.
    void close_to_free_resources();

    /// Reads on if there is memory for the body by now. Returns false if the
    /// connection still waits.
    bool resume_reading();

private:
    friend class connection_channel;

    using request_parser = boost::beast::http::request_parser<growing_body>;

    void read_more();
    void on_read(const boost::system::error_code& error_code,
                 std::size_t bytes);
    void parse();
    void prepare_next_request();
    void on_parse_error(const boost::system::error_code& error_code);
    void on_request();
    void send_continue_if_expected();
    [[nodiscard]] bool is_framing_valid() const;
    /// Sets the timer in place of an earlier one. `reason` is why the
    /// connection closes when it expires.
    void set_timer(std::chrono::milliseconds timeout,
                   ports::close_reason reason);
    void on_timer();
    /// Returns how long the connection may wait for the next request: what the
    /// last response announced, or longer if the limit in force is longer.
    [[nodiscard]] std::chrono::milliseconds idle_timeout() const;
    /// Returns the limit for the head of a response, and records it as
    /// announced.
    [[nodiscard]] std::chrono::milliseconds announce_idle_timeout();
    /// Returns whether the first bytes of a request have been read whose
    /// response is not written completely.
    [[nodiscard]] bool is_in_request() const;
    /// Returns whether the caller has closed the connection behind the request
    /// that was just read: the process may have been held up for longer than
    /// the caller waits.
    [[nodiscard]] bool has_caller_left();
    /// Returns whether the caller has sent bytes that were not read yet.
    [[nodiscard]] bool has_unread_bytes() const;

    // caller_connection_memory.cpp: the memory of requests and responses.
    /// Returns the bytes that the body takes, as far as they are known.
    /// Precondition: the head has been read.
    [[nodiscard]] std::int64_t needed_body_bytes() const;
    /// Counts what was read of heads and of requests sent ahead. Returns false
    /// if the connection was closed because there is no room for it.
    bool reserve_read_bytes();
    /// Returns whether no more of what a caller sends ahead is read for now.
    [[nodiscard]] bool is_read_ahead_full() const;
    /// Reserves the memory of the body, before it is read. Returns false if
    /// there is no room.
    bool try_reserve_body();
    /// The same for a request that is not yet waiting, which goes behind those
    /// that are.
    bool may_read_body();
    /// Stops reading until there is memory for the body, so that the caller's
    /// sending stops too.
    void wait_for_memory();
    void stop_waiting();
    /// Passes the request on without its body, to be refused.
    void refuse_body(ports::body_refusal refusal);
    /// Counts the bytes that the caller has not yet read.
    void count_unwritten_bytes();

    // Called by the channel of the present request.
    void send_response(const ports::response_head& head,
                       const std::string& body);
    void start_response(const ports::response_head& head);
    void send_part(const std::string& part, std::function<void()> written);
    void finish_response();
    void abort_response();

    void write(const std::string& bytes, std::function<void()> written);
    void on_written(const boost::system::error_code& error_code);
    /// Records that bytes have been written.
    void record_write(std::size_t bytes) const;
    void on_response_written();
    void refuse(int status, std::string_view reason);
    void on_io_error(const boost::system::error_code& error_code,
                     ports::close_reason other_reason);
    void close(ports::close_reason reason);

    caller_server& m_server;
    tcp::socket m_socket;
    one_shot_timer m_timer;
    ports::close_reason m_timer_reason = ports::close_reason::idle_timeout;
    read_buffer<8 << 10> m_buffer;
    std::optional<request_parser> m_parser;
    /// What the parser consumed of the head of the present request.
    consumed_input m_head;
    const ports::steady_time m_accepted_at;
    /// When the write in progress began.
    ports::steady_time m_write_started_at{};
    /// When a write of a response began or last made progress.
    ports::steady_time m_last_write_at{};
    ports::steady_time m_arrived_at{};
    ports::steady_time m_idle_since{};
    /// The limit in the head of the last response; 0 before the first one.
    std::chrono::milliseconds m_announced_idle_timeout{0};
    std::shared_ptr<ports::exchange_in_flight> m_exchange;
    /// Bytes to write after those of the write in progress.
    std::string m_queued_output;
    /// Bytes of the write in progress; empty if there is none.
    std::string m_output_in_progress;
    std::function<void()> m_on_written;
    bool m_is_unused = true;
    bool m_is_reading = false;
    /// True from the complete request, or its refusal, until the response is
    /// written.
    bool m_is_handling_request = false;
    /// Whether the response has been passed to `write` completely.
    bool m_is_response_ended = false;
    bool m_is_keep_alive = false;
    /// Whether the caller understands chunked bodies (HTTP/1.1 or later).
    bool m_has_chunked_support = false;
    bool m_is_closed = false;
    /// Whether "100 Continue" was sent for the present request.
    bool m_has_sent_continue = false;
    /// Whether a request was refused because it was malformed, too large or too
    /// slow. All bytes that follow are discarded.
    bool m_is_refused = false;
    /// Whether a response was written completely after which the connection
    /// closes.
    bool m_is_last_response_written = false;
    bool m_is_waiting_for_memory = false;
    memory_reservation m_connection_memory;
    memory_reservation m_body_memory;
    memory_reservation m_pipelined_memory;
    memory_reservation m_output_memory;
};

} // namespace turmeric::adapters
