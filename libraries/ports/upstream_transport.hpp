#pragma once

#include "libraries/ports/http_message.hpp"
#include "libraries/ports/request_body.hpp"
#include "libraries/ports/response_defect.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace turmeric::ports
{

/// How a call to an upstream failed.
enum class transport_failure : std::uint8_t
{
    /// No connection was established; the upstream received nothing of the
    /// call.
    not_connected,
    /// The upstream ended the connection before the response was complete. It
    /// may have run the request.
    broken,
    /// The upstream's VM acknowledged nothing for too long. The upstream may
    /// have run the request.
    unresponsive,
    /// What was received is not a valid response or is the response to another
    /// request.
    unreadable,
};

/// Returns the failure's name. Thread safe.
[[nodiscard]] constexpr std::string_view name_of(transport_failure value)
{
    switch (value)
    {
    case transport_failure::not_connected:
        return "not_connected";
    case transport_failure::broken:
        return "broken";
    case transport_failure::unresponsive:
        return "unresponsive";
    case transport_failure::unreadable:
        return "unreadable";
    }
    return "unknown";
}

/// One call to an upstream.
struct outgoing_call
{
    /// Dotted IPv4 address and port, such as `10.0.0.1:8080`.
    std::string address;
    /// The request as written to the connection, without `body`.
    std::string bytes;
    /// Written after `bytes`; null if there is nothing more to write. Released
    /// once it is sent.
    std::shared_ptr<const request_body> body = nullptr;
    /// The memory of `bytes`; released with them.
    memory_reservation memory = {};
    /// Name and value of a header field that the upstream echoes in its
    /// response. A response that has this field with another value belongs to
    /// another request and is dropped. One without this field is accepted only
    /// as the first response on its connection, which then carries no further
    /// call: on a reused connection it may be an earlier response that was
    /// sent once more, and is dropped. With an empty name any response is
    /// accepted.
    std::string echoed_field_name;
    std::string echoed_field_value;
    std::chrono::milliseconds connect_timeout{500};
    /// The call uses a kept-alive connection only if that has been idle for
    /// less than this time; zero requires a new connection.
    std::chrono::milliseconds max_idle{0};
};

/// Receives the events of one call on the thread of the transport. After
/// `on_end` or `on_failure` no further event follows.
class call_listener
{
public:
    call_listener() = default;
    call_listener(const call_listener&) = delete;
    call_listener& operator=(const call_listener&) = delete;
    virtual ~call_listener() = default;

    /// The head of the final response was received. Interim responses, whose
    /// status is below 200, are not reported.
    virtual void on_head(const response_head& head) = 0;

    /// A part of the body was received. The next one follows only after
    /// `read_more`.
    virtual void on_part(std::string part) = 0;

    /// The response is complete.
    virtual void on_end() = 0;

    /// The call failed.
    virtual void on_failure(transport_failure failure) = 0;
};

/// A call in progress. Used on the thread of its transport.
class upstream_call
{
public:
    upstream_call() = default;
    upstream_call(const upstream_call&) = delete;
    upstream_call& operator=(const upstream_call&) = delete;
    virtual ~upstream_call() = default;

    /// Requests the next part of the body. Precondition: `on_part` was called
    /// since the previous `read_more`.
    virtual void read_more() = 0;

    /// Closes the connection. The listener receives no further event.
    virtual void cancel() = 0;

    /// Returns what was wrong with the response, once `on_failure` was called;
    /// `none` before, and if the failure was none of the response.
    [[nodiscard]] virtual response_defect defect() const
    {
        return response_defect::none;
    }
};

/// What a probe found out about the path to an upstream.
enum class probe_result : std::uint8_t
{
    /// No connection was established, or it ended without a valid response.
    failed,
    /// A connection was established, and no response came in time.
    silent,
    /// The upstream responded; with which status does not matter.
    answered,
};

/// Returns the result's name. Thread safe.
[[nodiscard]] constexpr std::string_view name_of(probe_result value)
{
    switch (value)
    {
    case probe_result::failed:
        return "failed";
    case probe_result::silent:
        return "silent";
    case probe_result::answered:
        return "answered";
    }
    return "unknown";
}

/// A request that finds out whether an upstream can be reached.
struct path_probe
{
    /// Dotted IPv4 address and port.
    std::string address;
    /// The complete request, as written to the connection.
    std::string bytes;
    std::chrono::milliseconds connect_timeout{500};
    /// From the start of the probe; longer than `connect_timeout`.
    std::chrono::milliseconds response_timeout{1'000};
};

/// Makes calls to upstreams over kept-alive connections. Not thread safe.
class upstream_transport
{
public:
    upstream_transport() = default;
    upstream_transport(const upstream_transport&) = delete;
    upstream_transport& operator=(const upstream_transport&) = delete;
    virtual ~upstream_transport() = default;

    /// Starts a call. The listener is called only after `start` has returned.
    /// Precondition: `listener` lives until the call has ended.
    virtual std::shared_ptr<upstream_call>
    start(outgoing_call call, std::shared_ptr<call_listener> listener) = 0;

    /// Sends a request over a new connection, and closes it once a response
    /// has begun. `done` is called once, after this function has returned.
    virtual void probe(path_probe sent,
                       std::function<void(probe_result result)> done) = 0;

    /// Closes the idle connections to the address of a removed upstream.
    virtual void close_idle_connections(const std::string& address) = 0;
};

} // namespace turmeric::ports
