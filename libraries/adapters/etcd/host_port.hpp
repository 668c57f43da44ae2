#pragma once

#include <optional>
#include <string>

namespace turmeric::adapters
{

/// A host and a TCP port.
struct host_port
{
    std::string host;
    int port = 0;
};

/// Reads "host:port"; nothing when it is not that. Thread safe.
[[nodiscard]] std::optional<host_port> parse_host_port(const std::string& text);

} // namespace turmeric::adapters
