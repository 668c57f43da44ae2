#pragma once

#include "libraries/adapters/asio/asio.hpp"
#include "libraries/core/result.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace turmeric::adapters
{

/// Sets the options of every connection: small packets are sent at once
/// (TCP_NODELAY), and the connection is closed when sent bytes stay
/// unacknowledged for `unacknowledged_timeout` (TCP_USER_TIMEOUT). Errors are
/// ignored. Thread safe.
void set_connection_options(tcp::socket& socket,
                            std::chrono::milliseconds unacknowledged_timeout);

/// Closes a socket so that its peer gets a reset instead of an orderly close.
/// Thread safe.
void reset_connection(tcp::socket& socket);

/// Parses an IPv4 address and port such as `10.0.0.1:8080`. Returns nothing if
/// the text is no such address or the port is zero. Thread safe.
[[nodiscard]] std::optional<tcp::endpoint>
parse_endpoint(const std::string& address);

/// Opens a listening socket. Errors: `settings_invalid` with the address in
/// `field` and the reason in `detail`. Thread safe.
result<tcp::acceptor> listen_on(asio::io_context& loop,
                                const std::string& address);

} // namespace turmeric::adapters
