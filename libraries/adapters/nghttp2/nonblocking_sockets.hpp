#pragma once

#include "libraries/core/result.hpp"

#include <string>

namespace turmeric::adapters
{

/// A listening socket and its port.
struct listening_socket
{
    int socket = -1;
    int port = 0;
};

/// Opens a non-blocking listening socket; port 0 binds any free port.
/// Error: `settings_invalid`. Thread safe.
result<listening_socket> open_listener(const std::string& host, int port);

/// Starts a non-blocking connection to "host:port", where host is a numeric IP
/// address. Error: `peer_unavailable`. Thread safe.
result<int> start_connection(const std::string& address);

} // namespace turmeric::adapters
