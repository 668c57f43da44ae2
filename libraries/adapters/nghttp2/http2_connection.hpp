#pragma once

#include "libraries/core/result.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/peer.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nghttp2/nghttp2.h>
#include <string>

namespace turmeric::adapters
{

/// Whether this end of a connection sends the requests or responds to them.
enum class http2_role : std::uint8_t
{
    client,
    server,
};

/// Receives the response to one call.
using peer_response_callback = std::function<void(result<std::string>)>;

/// Receives a complete request; its response is sent later by `respond`.
using peer_request_listener =
    std::function<void(std::int32_t stream_id, ports::peer_message message)>;

/// One HTTP/2 connection on a non-blocking socket. Owned by one thread; not
/// thread safe.
class http2_connection
{
public:
    /// Takes ownership of `socket`. Precondition: it is non-blocking;
    /// `listener` is set for a server.
    http2_connection(int socket, http2_role role,
                     peer_request_listener listener, ports::steady_time now);

    http2_connection(const http2_connection&) = delete;
    http2_connection& operator=(const http2_connection&) = delete;

    /// Closes the socket; calls in progress end with `peer_unavailable`.
    ~http2_connection();

    /// Starts a call; `on_response` is called exactly once. Precondition: the
    /// role is client.
    void call(const ports::peer_message& message, ports::steady_time deadline,
              peer_response_callback on_response);

    /// Sends the response to a request; does nothing when its stream has ended.
    /// Precondition: the role is server.
    void respond(std::int32_t stream_id, const result<std::string>& response);

    /// Reads and processes the bytes that have arrived. Returns false when the
    /// connection has ended.
    bool receive(ports::steady_time now);

    /// Writes pending output until the socket would block. Returns false when
    /// the connection has ended.
    bool flush();

    /// Ends calls that are past their deadline, and pings a peer that has sent
    /// nothing recently (2 s). Returns false when the peer has sent nothing for
    /// the receive timeout (5 s).
    bool check_timeouts(ports::steady_time now);

    /// Returns the socket, which this connection owns.
    [[nodiscard]] int socket() const;

    /// Returns whether there is output to write.
    [[nodiscard]] bool wants_write() const;

private:
    struct stream
    {
        std::string kind;
        std::string received_body;
        std::string outgoing_body;
        std::size_t sent_bytes = 0;
        int status = 0;
        bool is_body_too_large = false;
        /// Whether the peer has marked the end of its message.
        bool is_message_complete = false;
        ports::steady_time deadline;
        peer_response_callback on_response;
    };

    stream& stream_of(std::int32_t id);
    void dispatch_request(std::int32_t id);
    /// Ends a stream and reports its response, or the lack of a complete one.
    /// `is_closed_without_error` is false for a stream that was cancelled or
    /// reset with an error.
    void finish_stream(std::int32_t id, bool is_closed_without_error);
    void submit_response(std::int32_t id, int status);

    static int on_header(nghttp2_session* session, const nghttp2_frame* frame,
                         const std::uint8_t* name, std::size_t name_length,
                         const std::uint8_t* value, std::size_t value_length,
                         std::uint8_t flags, void* user_data);
    static int on_data(nghttp2_session* session, std::uint8_t flags,
                       std::int32_t id, const std::uint8_t* data,
                       std::size_t length, void* user_data);
    static int on_frame(nghttp2_session* session, const nghttp2_frame* frame,
                        void* user_data);
    static int on_close(nghttp2_session* session, std::int32_t id,
                        std::uint32_t code, void* user_data);
    static ssize_t read_outgoing_body(nghttp2_session* session, std::int32_t id,
                                      std::uint8_t* buffer, std::size_t length,
                                      std::uint32_t* flags,
                                      nghttp2_data_source* source,
                                      void* user_data);

    const int m_socket;
    const http2_role m_role;
    const peer_request_listener m_listener;
    nghttp2_session* m_session = nullptr;
    std::map<std::int32_t, stream> m_streams;
    std::string m_output;
    ports::steady_time m_last_received;
    ports::steady_time m_last_ping;
};

} // namespace turmeric::adapters
