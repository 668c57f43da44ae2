#pragma once

#include "libraries/core/result.hpp"

#include <chrono>
#include <functional>
#include <string>

namespace turmeric::ports
{

/// A message between two processes of the system.
struct peer_message
{
    /// Names the handler, such as "heartbeat" or "configuration".
    std::string kind;
    std::string body;
};

/// Answers a message from another process; runs on a peer thread.
using peer_handler = std::function<result<std::string>(const peer_message&)>;

/// Sends messages to other processes of the system over streams that are
/// kept open and proved alive by pings. Implementations are thread safe.
///
/// Errors: `peer_unavailable`, `peer_protocol`.
class peer_caller
{
public:
    peer_caller() = default;
    peer_caller(const peer_caller&) = delete;
    peer_caller& operator=(const peer_caller&) = delete;
    virtual ~peer_caller() = default;

    /// Sends `message` to `address` ("host:port") and returns the answer's
    /// body. Thread safe; blocks up to `timeout`.
    virtual result<std::string> call(const std::string& address,
                                     const peer_message& message,
                                     std::chrono::milliseconds timeout) = 0;
};

} // namespace turmeric::ports
