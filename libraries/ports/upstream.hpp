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

/// A request as it is sent to an upstream.
struct upstream_request
{
    std::string method;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::string content_type;
    /// The maximum time without data, before and between parts of the response.
    std::chrono::milliseconds idle_timeout{0};
    /// Set for a request that may run at most once: the upstream may close a
    /// kept-alive connection while the request is being written, which leaves
    /// the outcome unknown.
    bool needs_new_connection = false;
};

/// Status and headers of an upstream's response.
struct upstream_response_head
{
    int status = 0;
    std::string content_type;
    std::vector<std::pair<std::string, std::string>> headers;
};

/// Receives a response as it arrives. The callbacks run on the thread that
/// called `send`.
struct upstream_response_sink
{
    /// Called once. Returning false cancels the request.
    std::function<bool(const upstream_response_head&)> on_head;
    /// Called for each part of the body. It may block, which applies
    /// backpressure to the upstream. Returning false cancels the request.
    std::function<bool(std::string_view)> on_body;
};

/// The result of a call to an upstream that ended without an error.
struct upstream_completion
{
    int status = 0;
};

/// Sends requests to upstreams, each given by its address. Implementations are
/// thread safe.
///
/// Errors: `upstream_failed` with effect `not_run` if no connection was
/// established, else `stream_broken` or `upstream_timeout` with
/// `outcome_unknown`. A sink that cancels ends the call with `caller_gone`.
class upstream_caller
{
public:
    upstream_caller() = default;
    upstream_caller(const upstream_caller&) = delete;
    upstream_caller& operator=(const upstream_caller&) = delete;
    virtual ~upstream_caller() = default;

    /// Sends `request` to `address` ("host:port") and passes the response to
    /// `sink`. Precondition: both callbacks of `sink` are set. Thread safe;
    /// blocks until the response ends.
    virtual result<upstream_completion>
    send(const std::string& address, const upstream_request& request,
         const upstream_response_sink& sink) = 0;
};

} // namespace turmeric::ports
