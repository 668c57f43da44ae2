#pragma once

#include "libraries/ports/http_message.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace turmeric::ports
{

/// How a call to an upstream failed.
enum class transport_failure : std::uint8_t
{
    /// No connection came about; the upstream has seen nothing of the call.
    not_connected,
    /// The connection ended before the answer was whole. The upstream may
    /// have run the request.
    broken,
    /// What came is no answer, or the answer to another request.
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
    case transport_failure::unreadable:
        return "unreadable";
    }
    return "unknown";
}

/// One call to an upstream.
struct outgoing_call
{
    /// Dotted IPv4 address and port, as `10.0.0.1:8080`.
    std::string address;
    /// The whole request, head and body, as it goes onto the connection.
    std::string bytes;
    /// An answer that bears this field with another value belongs to another
    /// request and is dropped. Empty: any answer is taken.
    std::string echoed_field_name;
    std::string echoed_field_value;
    std::chrono::milliseconds connect_timeout{500};
    /// How long a connection may have been idle to serve this call; zero
    /// asks for a new connection.
    std::chrono::milliseconds max_idle{0};
};

/// Hears of one call. Called on the thread of the transport. After `on_end`
/// or `on_failure` nothing follows.
class call_listener
{
public:
    call_listener() = default;
    call_listener(const call_listener&) = delete;
    call_listener& operator=(const call_listener&) = delete;
    virtual ~call_listener() = default;

    /// The head of the answer came.
    virtual void on_head(const response_head& head) = 0;

    /// A part of the body came; the next one follows `read_more`.
    virtual void on_part(std::string part) = 0;

    /// The answer is whole.
    virtual void on_end() = 0;

    /// The call failed.
    virtual void on_failure(transport_failure failure) = 0;
};

/// A call that was started. Used on the thread of its transport.
class upstream_call
{
public:
    upstream_call() = default;
    upstream_call(const upstream_call&) = delete;
    upstream_call& operator=(const upstream_call&) = delete;
    virtual ~upstream_call() = default;

    /// Asks for the next part. Precondition: `on_part` was called since the
    /// last time.
    virtual void read_more() = 0;

    /// Closes the connection; the listener hears nothing more.
    virtual void cancel() = 0;
};

/// Carries calls to upstreams over kept connections. Not thread safe.
class upstream_transport
{
public:
    upstream_transport() = default;
    upstream_transport(const upstream_transport&) = delete;
    upstream_transport& operator=(const upstream_transport&) = delete;
    virtual ~upstream_transport() = default;

    /// Starts a call. The listener hears of it later, never within `start`.
    /// Precondition: `listener` lives until the call has ended.
    virtual std::shared_ptr<upstream_call>
    start(outgoing_call call, std::shared_ptr<call_listener> listener) = 0;

    /// Closes the idle connections to an address, as its upstream has gone.
    virtual void close_idle_connections(const std::string& address) = 0;
};

} // namespace turmeric::ports
