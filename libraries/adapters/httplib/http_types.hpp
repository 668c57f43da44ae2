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

/// A request as a handler gets it, its body whole.
struct http_request
{
    std::string method;
    std::string path;
    /// The path with its query, as sent.
    std::string target;
    http_headers headers;
    std::string body;
    std::string remote_address;

    /// Returns the first value of a header, whatever the case of its name,
    /// or an empty text. Thread safe on a request that does not change.
    [[nodiscard]] std::string header(std::string_view name) const;
};

/// Writes a piece of a streamed answer; blocks while the reader is slow.
/// Returns false when the reader is gone.
using http_stream_writer = std::function<bool(std::string_view part)>;

/// Writes a streamed answer with the writer it is given, on the connection's
/// thread. Returns false to close the connection without an end mark, so
/// that the reader can tell that the answer is not whole.
using http_stream_producer =
    std::function<bool(const http_stream_writer& write)>;

/// An answer: a whole body, or a stream if `stream` is set.
struct http_reply
{
    int status = 200;
    std::string content_type;
    http_headers headers;
    std::string body;
    http_stream_producer stream;
};

/// Makes an RFC 9457 problem document of `failure`. Thread safe.
[[nodiscard]] http_reply make_problem(const error& failure);

/// Makes a reply with a JSON body. Thread safe.
[[nodiscard]] http_reply make_json_reply(int status, std::string body);

} // namespace turmeric::adapters
