#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace turmeric::load
{

/// What a non-blocking read or write did.
enum class transfer_result
{
    completed,
    would_block,
    closed,
};

/// A non-blocking TCP connection. Not thread safe.
class connection
{
public:
    connection() = default;
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// Begins to connect to "host:port", with a small receive buffer if
    /// `is_slow`; false when that cannot be. Precondition: not open.
    bool open(const std::string& address, bool is_slow);

    /// Closes the connection if it is open.
    void close();

    /// Tells whether the connection is open or opening.
    [[nodiscard]] bool is_open() const;

    /// Returns the socket. Precondition: `is_open()`.
    [[nodiscard]] int socket() const;

    /// Returns the address that was connected to last.
    [[nodiscard]] const std::string& address() const;

    /// Sets bytes to send. Precondition: all earlier ones were sent.
    void set_output(std::string bytes);

    /// Sends what the connection takes; `moved` when all is sent.
    transfer_result flush();

    /// Reads up to `limit` bytes into `buffer`, replacing its content.
    transfer_result read(std::string& buffer, std::size_t limit) const;

private:
    int m_socket = -1;
    std::string m_address;
    std::string m_output;
    std::size_t m_sent = 0;
};

} // namespace turmeric::load
