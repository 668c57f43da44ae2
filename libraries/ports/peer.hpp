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

/// Handles a message from another process and returns the body of the
/// response. Runs on a peer thread.
using peer_handler = std::function<result<std::string>(const peer_message&)>;

/// Sends messages to other processes of the system over streams that stay
/// open; pings detect a dead connection. Implementations are thread safe.
///
/// Errors: `peer_unavailable`, `peer_protocol`.
class peer_caller
{
public:
    peer_caller() = default;
    peer_caller(const peer_caller&) = delete;
    peer_caller& operator=(const peer_caller&) = delete;
    virtual ~peer_caller() = default;

    /// Sends `message` to `address` ("host:port") and returns the body of the
    /// response. Thread safe; blocks up to `timeout`.
    virtual result<std::string> call(const std::string& address,
                                     const peer_message& message,
                                     std::chrono::milliseconds timeout) = 0;
};

} // namespace turmeric::ports
