#pragma once

#include "libraries/adapters/asio/asio.hpp"
#include "libraries/core/result.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace turmeric::adapters
{

/// Sets what every connection has: no delay for small packets, and an end
/// when sent bytes stay unacknowledged for `unacknowledged`. Thread safe.
void set_connection_options(tcp::socket& socket,
                            std::chrono::milliseconds unacknowledged_timeout);

/// Closes a socket so that its peer sees a reset, never an orderly end.
/// Thread safe.
void reset_connection(tcp::socket& socket);

/// Reads an address as `10.0.0.1:8080`. Returns nothing if it is none.
/// Thread safe.
[[nodiscard]] std::optional<tcp::endpoint>
parse_endpoint(const std::string& address);

/// Opens a listening socket. Errors: `settings_invalid` with the address and
/// the reason. Thread safe.
result<tcp::acceptor> listen_on(asio::io_context& loop,
                                const std::string& address);

} // namespace turmeric::adapters
