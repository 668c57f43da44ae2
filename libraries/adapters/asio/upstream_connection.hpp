#pragma once

#include "libraries/adapters/asio/asio.hpp"
#include "libraries/adapters/asio/growing_body.hpp"
#include "libraries/adapters/asio/http_serialization.hpp"
#include "libraries/adapters/asio/one_shot_timer.hpp"
#include "libraries/adapters/asio/read_buffer.hpp"
#include "libraries/adapters/asio/upstream_connection_pool.hpp"

#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace turmeric::adapters
{

/// One connection to an upstream, and the call that it carries at present.
/// Used on the thread of its pool's event loop only.
class upstream_connection final
    : public ports::upstream_call,
      public std::enable_shared_from_this<upstream_connection>
{
public:
    /// Precondition: `pool` outlives the connection.
    upstream_connection(upstream_connection_pool& pool, std::string address);

    /// Starts a call, and connects first if needed. Precondition: no call is in
    /// progress.
    void start_call(ports::outgoing_call call,
                    std::shared_ptr<ports::call_listener> listener);

    void read_more() override;
    void cancel() override;
    [[nodiscard]] ports::response_defect defect() const override;

    /// Returns whether an idle connection may carry a call: it is open and has
    /// been idle for less than `max_idle` and the upstream's own limit.
    /// Thread safe.
    [[nodiscard]] bool is_usable(ports::steady_time now,
                                 std::chrono::milliseconds max_idle) const;

    /// Returns whether one of the last calls on the connection had the same
    /// echoed value: a late copy of its response could not be told from the
    /// response to another call with it.
    [[nodiscard]] bool has_carried(const std::string& echoed_value) const;

    /// Returns the upstream's address. Thread safe.
    [[nodiscard]] const std::string& address() const;

private:
    using response_parser = boost::beast::http::response_parser<growing_body>;

    /// How a response's echoed field relates it to the request of the call.
    enum class echoed_id : std::uint8_t
    {
        matching,
        other,
        missing,
    };

    void connect(std::chrono::milliseconds timeout);
    void on_connected(const boost::system::error_code& error_code);
    void send();
    void on_sent(const boost::system::error_code& error_code,
                 std::size_t bytes);
    void read();
    void on_read(const boost::system::error_code& error_code,
                 std::size_t bytes);
    void on_read_error(const boost::system::error_code& error_code);
    void parse();
    void on_parse_error(const boost::system::error_code& error_code);
    void deliver_head();
    void skip_interim_response();
    /// Passes the parsed part of the body to the listener. Returns false if
    /// there is none.
    bool deliver_part();
    void on_response_complete();
    void start_next_response();
    void become_idle(std::chrono::milliseconds max_idle);
    /// Returns how the response's echoed field relates it to the request.
    [[nodiscard]] echoed_id compare_echoed_id() const;
    /// Returns whether the response is to this call's request. `is_first` is
    /// whether it is the first one on the connection.
    [[nodiscard]] bool is_own_response(bool is_first) const;
    /// Returns how long the connection may be idle after this response.
    [[nodiscard]] std::chrono::milliseconds compute_max_idle() const;
    void fail(ports::transport_failure failure,
              ports::response_defect defect = ports::response_defect::none);
    void close();

    upstream_connection_pool& m_pool;
    std::string m_address;
    tcp::socket m_socket;
    one_shot_timer m_connect_timer;
    read_buffer<16 << 10> m_buffer;
    std::optional<response_parser> m_parser;
    ports::outgoing_call m_call;
    std::shared_ptr<ports::call_listener> m_listener;
    ports::response_defect m_defect = ports::response_defect::none;
    /// How the connection was lost, if a write has reported it: reading then
    /// reports a proper end.
    boost::system::error_code m_write_error;
    ports::steady_time m_idle_since{};
    std::chrono::milliseconds m_max_idle{0};
    /// Of the last calls, the latest one first.
    std::deque<std::string> m_carried_values;
    std::int32_t m_mismatched_responses = 0;
    std::int32_t m_interim_responses = 0;
    /// Bytes of their bodies.
    std::size_t m_skipped_bytes = 0;
    bool m_is_connected = false;
    bool m_is_reading = false;
    bool m_is_request_sent = false;
    /// Whether a response has begun since the connection was opened.
    bool m_has_received_response = false;
    bool m_is_head_delivered = false;
    /// Whether the present response is interim, or is not, or not certainly, to
    /// this call's request, and is discarded.
    bool m_is_skipping_response = false;
    /// Whether a part was delivered and `read_more` was not yet called.
    bool m_is_waiting_for_listener = false;
    bool m_is_closed = false;
    /// Whether the upstream has closed its side. The buffer may still hold
    /// bytes that it sent before.
    bool m_has_reached_eof = false;
};

} // namespace turmeric::adapters
