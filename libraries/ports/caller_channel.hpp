#pragma once

#include "libraries/ports/clock.hpp"
#include "libraries/ports/http_message.hpp"

#include <functional>
#include <memory>
#include <string>

namespace turmeric::ports
{

/// A request that was received completely.
struct received_request
{
    request_head head;
    std::string body;
    /// The time at which its first bytes were read.
    steady_time arrived_at;
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

    /// Called when the caller has closed its connection. Nothing more may be
    /// sent to it. Traffic thread.
    virtual void on_caller_disconnected() = 0;
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
