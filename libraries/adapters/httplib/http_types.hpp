#pragma once

#include "libraries/core/error.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace turmeric::adapters
{

using http_headers = std::vector<std::pair<std::string, std::string>>;

/// A request with its complete body, as a handler receives it.
struct http_request
{
    std::string method;
    std::string path;
    /// The path with its query, as sent.
    std::string target;
    http_headers headers;
    std::string body;
    std::string remote_address;

    /// Returns the first value of the header `name`, ignoring case, or an empty
    /// string. Thread safe while the request does not change.
    [[nodiscard]] std::string header(std::string_view name) const;
};

/// Writes a part of a streamed response; blocks while the reader is slow.
/// Returns false when the reader has disconnected.
using http_stream_writer = std::function<bool(std::string_view part)>;

/// Writes a streamed response through `write`, on the connection's thread.
/// Returns false to close the connection without the final chunk, so that the
/// reader can tell that the response is truncated.
using http_stream_producer =
    std::function<bool(const http_stream_writer& write)>;

/// A response with a complete body, or with a stream if `stream` is set.
struct http_response
{
    int status = 200;
    std::string content_type;
    http_headers headers;
    std::string body;
    http_stream_producer stream;
};

/// Makes a response with an RFC 9457 problem document for `failure`. Thread
/// safe.
[[nodiscard]] http_response make_problem(const error& failure);

/// Makes a response with a JSON body. Thread safe.
[[nodiscard]] http_response make_json_response(int status, std::string body);

} // namespace turmeric::adapters
