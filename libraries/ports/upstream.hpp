#pragma once

#include "libraries/core/result.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace turmeric::ports
{

/// A request as an upstream gets it.
struct upstream_request
{
    std::string method;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::string content_type;
    /// The longest silence allowed before and between parts of the answer.
    std::chrono::milliseconds idle_timeout{0};
    /// Set for a call that may run at most once: a kept connection may be
    /// closed while the request is written, with its outcome unknown.
    bool needs_new_connection = false;
};

/// What an upstream says before its body.
struct upstream_response_head
{
    int status = 0;
    std::string content_type;
    std::vector<std::pair<std::string, std::string>> headers;
};

/// Gets an answer as it arrives. Called on the thread that called `send`.
struct upstream_response_sink
{
    /// Called once; returning false cancels the request.
    std::function<bool(const upstream_response_head&)> on_head;
    /// Called for each piece of the body; may block, which pauses the
    /// upstream; returning false cancels the request.
    std::function<bool(std::string_view)> on_body;
};

/// How a call to an upstream ended without error.
struct upstream_completion
{
    int status = 0;
};

/// Calls one upstream at a time by address. Implementations are thread safe.
///
/// Errors: `upstream_failed` with effect `not_run` when no connection was
/// made, else `stream_broken` or `upstream_timeout` with `outcome_unknown`.
/// A sink that cancels ends the call with `caller_gone`.
class upstream_caller
{
public:
    upstream_caller() = default;
    upstream_caller(const upstream_caller&) = delete;
    upstream_caller& operator=(const upstream_caller&) = delete;
    virtual ~upstream_caller() = default;

    /// Sends `request` to `address` ("host:port") and feeds the answer to
    /// `sink`. Precondition: both callbacks are set. Thread safe; blocks
    /// until the answer ends.
    virtual result<upstream_completion>
    send(const std::string& address, const upstream_request& request,
         const upstream_response_sink& sink) = 0;
};

} // namespace turmeric::ports
