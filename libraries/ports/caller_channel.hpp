#pragma once

#include "libraries/core/memory_budget.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/http_message.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace turmeric::ports
{

/// Why a caller's connection was closed.
enum class close_reason : std::uint8_t
{
    /// The caller closed it in order.
    caller_closed,
    /// The caller reset it.
    caller_reset,
    /// Reading failed otherwise, for example as the caller's host no longer
    /// acknowledges.
    read_error,
    /// Writing failed otherwise.
    write_error,
    /// No request began within the idle timeout.
    idle_timeout,
    /// A request was not received completely within the header timeout.
    header_timeout,
    /// A refused request ended, or the linger time after the last response.
    linger_ended,
    /// The response was aborted, so that it does not look complete.
    response_aborted,
    /// The caller read nothing of a response for too long.
    response_unread,
    /// The process needed the memory or the descriptor of the connection.
    no_memory,
};

/// Returns the reason's name. Thread safe.
[[nodiscard]] constexpr std::string_view name_of(close_reason value)
{
    switch (value)
    {
    case close_reason::caller_closed:
        return "caller_closed";
    case close_reason::caller_reset:
        return "caller_reset";
    case close_reason::read_error:
        return "read_error";
    case close_reason::write_error:
        return "write_error";
    case close_reason::idle_timeout:
        return "idle_timeout";
    case close_reason::header_timeout:
        return "header_timeout";
    case close_reason::linger_ended:
        return "linger_ended";
    case close_reason::response_aborted:
        return "response_aborted";
    case close_reason::response_unread:
        return "response_unread";
    case close_reason::no_memory:
        return "no_memory";
    }
    return "unknown";
}

/// Returns whether it was the caller that ended the connection. Thread safe.
[[nodiscard]] constexpr bool is_closed_by_caller(close_reason value)
{
    return value == close_reason::caller_closed ||
           value == close_reason::caller_reset;
}

/// Why the body of a request was not received.
enum class body_refusal : std::uint8_t
{
    /// It was received.
    none,
    /// The memory for it did not become free in time.
    no_memory_now,
    /// It is larger than all the memory for bodies.
    exceeds_memory,
};

/// A request that was received completely, or whose body is refused.
struct received_request
{
    request_head head;
    std::string body;
    /// The time at which its first bytes were read.
    steady_time arrived_at;
    /// The memory of the body.
    memory_reservation memory = {};
    /// If not `none`, `body` is empty and the handler must refuse the request.
    body_refusal refusal = body_refusal::none;
};

/// Sends the response to one request to its caller. Each request gets exactly
/// one `send_response`, or one `start_response` followed by `finish_response`
/// or `abort_response`. Used on the traffic thread only.
class caller_channel
{
public:
    caller_channel() = default;
    caller_channel(const caller_channel&) = delete;
    caller_channel& operator=(const caller_channel&) = delete;
    virtual ~caller_channel() = default;

    /// Sends a complete response. Precondition: nothing was sent. Traffic
    /// thread.
    virtual void send_response(const response_head& head, std::string body) = 0;

    /// Sends the head of a response whose body follows in parts and whose
    /// length is unknown. Precondition: nothing was sent. Traffic thread.
    virtual void start_response(const response_head& head) = 0;

    /// Sends a part of the body. `written` is called once the part has been
    /// written to the connection; it is not called after the caller has
    /// disconnected. Precondition: the response was started and no other part
    /// is being written. Traffic thread.
    virtual void send_part(std::string part, std::function<void()> written) = 0;

    /// Marks the body as complete. Precondition: the response was started.
    /// Traffic thread.
    virtual void finish_response() = 0;

    /// Closes the connection in such a way that the caller cannot take the
    /// truncated response for a complete one. Traffic thread.
    virtual void abort_response() = 0;
};

/// A request whose response is not yet complete.
class exchange_in_flight
{
public:
    exchange_in_flight() = default;
    exchange_in_flight(const exchange_in_flight&) = delete;
    exchange_in_flight& operator=(const exchange_in_flight&) = delete;
    virtual ~exchange_in_flight() = default;

    /// Called when the caller's connection has been closed, by the caller or
    /// by the server. Nothing more may be sent to it. Traffic thread.
    virtual void on_caller_disconnected(close_reason reason) = 0;
};

/// Handles the requests that a server has received. Traffic thread.
class request_handler
{
public:
    request_handler() = default;
    request_handler(const request_handler&) = delete;
    request_handler& operator=(const request_handler&) = delete;
    virtual ~request_handler() = default;

    /// Starts to handle a request. Returns null if the response was sent
    /// before the return. Traffic thread.
    virtual std::shared_ptr<exchange_in_flight>
    accept(received_request request,
           std::shared_ptr<caller_channel> channel) = 0;
};

} // namespace turmeric::ports
