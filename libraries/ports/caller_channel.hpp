#pragma once

#include "libraries/ports/clock.hpp"
#include "libraries/ports/http_message.hpp"

#include <functional>
#include <memory>
#include <string>

namespace turmeric::ports
{

/// A request that was read whole.
struct received_request
{
    request_head head;
    std::string body;
    /// When its first bytes were read.
    steady_time arrived_at;
};

/// The way back to one caller for one request. Each request gets exactly one
/// `send_response`, or one `start_response` that ends in `finish_response` or
/// `abort_response`. Used on the traffic thread only.
class caller_channel
{
public:
    caller_channel() = default;
    caller_channel(const caller_channel&) = delete;
    caller_channel& operator=(const caller_channel&) = delete;
    virtual ~caller_channel() = default;

    /// Sends a whole answer. Precondition: nothing was sent. Traffic thread.
    virtual void send_response(const response_head& head, std::string body) = 0;

    /// Sends the head of an answer whose body follows in parts and whose
    /// length is unknown. Precondition: nothing was sent. Traffic thread.
    virtual void start_response(const response_head& head) = 0;

    /// Sends a part of the body; `written` is called once the part has left
    /// for the caller, and not at all after the caller has gone.
    /// Precondition: the answer was started and no part is on its way.
    /// Traffic thread.
    virtual void send_part(std::string part, std::function<void()> written) = 0;

    /// Ends the body as complete. Precondition: the answer was started.
    /// Traffic thread.
    virtual void finish_response() = 0;

    /// Closes the connection so that the answer cannot look complete.
    /// Traffic thread.
    virtual void abort_response() = 0;
};

/// A request that is being answered.
class exchange_in_flight
{
public:
    exchange_in_flight() = default;
    exchange_in_flight(const exchange_in_flight&) = delete;
    exchange_in_flight& operator=(const exchange_in_flight&) = delete;
    virtual ~exchange_in_flight() = default;

    /// Tells that the caller closed its connection; nothing more may be sent
    /// to it. Traffic thread.
    virtual void on_caller_disconnected() = 0;
};

/// Takes the requests that a server has read. Traffic thread.
class request_handler
{
public:
    request_handler() = default;
    request_handler(const request_handler&) = delete;
    request_handler& operator=(const request_handler&) = delete;
    virtual ~request_handler() = default;

    /// Starts to answer a request. Returns null when it was answered at
    /// once. Traffic thread.
    virtual std::shared_ptr<exchange_in_flight>
    accept(received_request request,
           std::shared_ptr<caller_channel> channel) = 0;
};

} // namespace turmeric::ports
