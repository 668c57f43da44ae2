#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace turmeric::load
{

/// The result of a non-blocking read or write.
enum class transfer_result
{
    completed,
    would_block,
    /// The peer has ended the stream.
    closed,
    /// The connection was reset or lost.
    failed,
};

/// A non-blocking TCP connection. Not thread safe.
class connection
{
public:
    connection() = default;
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// Starts to connect to "host:port", an IPv4 address and a port, with a
    /// small receive buffer if `is_slow`. Returns false if the address is
    /// invalid or the attempt fails at once. Precondition: not open.
    bool open(const std::string& address, bool is_slow);

    /// Closes the connection if it is open.
    void close();

    /// Tells whether the connection is open or being established.
    [[nodiscard]] bool is_open() const;

    /// Returns the socket. Precondition: `is_open()`.
    [[nodiscard]] int socket() const;

    /// Returns the address of the last `open`.
    [[nodiscard]] const std::string& address() const;

    /// Sets the bytes to send. Precondition: all earlier bytes were sent.
    void set_output(std::string bytes);

    /// Sends as much as the socket accepts; `completed` when all is sent.
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
