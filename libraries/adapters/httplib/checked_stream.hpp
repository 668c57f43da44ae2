#pragma once

#include "libraries/adapters/httplib/response_head_reader.hpp"

#include <array>
#include <chrono>
#include <httplib.h>
#include <string>

namespace turmeric::adapters
{

/// One call over a client's connection. The head of the response is read and
/// checked before the library sees any byte of it; a broken one is an error of
/// the connection. Not thread safe.
class checked_stream final : public httplib::Stream
{
public:
    /// Precondition: `socket` is connected and outlives the stream.
    checked_stream(socket_t socket, std::chrono::milliseconds read_timeout,
                   std::chrono::milliseconds write_timeout);

    /// Returns what was wrong with the response; `none` if nothing is known.
    [[nodiscard]] ports::response_defect defect() const;

    [[nodiscard]] bool is_readable() const override;
    [[nodiscard]] bool is_writable() const override;
    ssize_t read(char* target, std::size_t size) override;
    ssize_t write(const char* bytes, std::size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    [[nodiscard]] socket_t socket() const override;

private:
    /// Receives up to `size` bytes. Returns 0 at the end of the stream, and -1
    /// after a timeout or an error, which it records.
    ssize_t receive(char* target, std::size_t size);
    /// Reads the head of the final response into `m_unread`. Returns as
    /// `receive`.
    ssize_t read_head();

    socket_t m_socket;
    std::chrono::milliseconds m_read_timeout;
    std::chrono::milliseconds m_write_timeout;
    response_head_reader m_head;
    bool m_has_head = false;
    /// Received bytes that the library has not read, from `m_unread_at` on.
    std::string m_unread;
    std::size_t m_unread_at = 0;
    ports::response_defect m_defect = ports::response_defect::none;
};

} // namespace turmeric::adapters
