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

/// Parses "host:port" with a port up to 65535; returns nullopt for any other
/// text. Thread safe.
[[nodiscard]] std::optional<host_port> parse_host_port(const std::string& text);

} // namespace turmeric::adapters
