#pragma once

#include <httplib.h>
#include <poll.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <string>
#include <utility>

namespace turmeric::standins
{

/// Counts the bytes that a server receives and sends. Thread safe.
struct traffic_counter
{
    std::atomic<std::int64_t> bytes_in{0};
    std::atomic<std::int64_t> bytes_out{0};
};

/// A connection for the HTTP library that can drop replies and detect that the
/// peer disconnects. Not thread safe.
class socket_stream final : public httplib::Stream
{
public:
    /// Precondition: `socket` is connected and outlives the stream.
    socket_stream(socket_t socket, traffic_counter& counter)
        : m_socket(socket)
        , m_counter(counter)
    {
    }

    /// Makes all later writes fail, so that no reply reaches the peer.
    void drop()
    {
        m_is_dropped = true;
    }

    /// Returns whether `drop` was called.
    [[nodiscard]] bool is_dropped() const
    {
        return m_is_dropped;
    }

    /// Records that the complete reply was written to the socket without the
    /// HTTP library.
    void mark_reply_written()
    {
        m_is_reply_written = true;
    }

    /// Returns whether `mark_reply_written` was called since the previous call
    /// of this function.
    [[nodiscard]] bool consume_reply_written()
    {
        return std::exchange(m_is_reply_written, false);
    }

    /// Waits until data can be read or the peer closes the connection. Returns
    /// false if neither happens within `wait`.
    [[nodiscard]] bool wait_readable(std::chrono::milliseconds wait) const
    {
        return has_buffered_data() || poll_for(POLLIN, wait) != 0;
    }

    /// Returns whether the connection is usable: the peer has not closed it and
    /// `drop` was not called.
    [[nodiscard]] bool is_peer_connected() const
    {
        const short events = poll_for(POLLRDHUP, std::chrono::milliseconds(0));
        return !m_is_dropped && events == 0;
    }

    [[nodiscard]] bool is_readable() const override
    {
        return has_buffered_data() ||
               (poll_for(POLLIN, read_timeout) & POLLIN) != 0;
    }

    [[nodiscard]] bool is_writable() const override
    {
        return is_peer_connected() &&
               (poll_for(POLLOUT, write_timeout) & POLLOUT) != 0;
    }

    ssize_t read(char* target, std::size_t size) override
    {
        if (!has_buffered_data() && !fill_buffer())
        {
            return -1;
        }
        const std::size_t copied = std::min(size, m_end - m_begin);
        std::memcpy(target, m_buffer.data() + m_begin, copied);
        m_begin += copied;
        return static_cast<ssize_t>(copied);
    }

    ssize_t write(const char* data, std::size_t size) override
    {
        std::size_t sent_bytes = 0;
        while (sent_bytes < size)
        {
            if (m_is_dropped ||
                (poll_for(POLLOUT, write_timeout) & POLLOUT) == 0)
            {
                return -1;
            }
            const ssize_t written =
                ::send(m_socket, data + sent_bytes, size - sent_bytes,
                       MSG_NOSIGNAL | MSG_DONTWAIT);
            if (written < 0 && errno != EAGAIN && errno != EINTR)
            {
                return -1;
            }
            sent_bytes += written > 0 ? static_cast<std::size_t>(written) : 0;
        }
        m_counter.bytes_out += static_cast<std::int64_t>(size);
        return static_cast<ssize_t>(size);
    }

    void get_remote_ip_and_port(std::string& ip, int& port) const override
    {
        ip.clear();
        port = 0;
    }

    void get_local_ip_and_port(std::string& ip, int& port) const override
    {
        ip.clear();
        port = 0;
    }

    [[nodiscard]] socket_t socket() const override
    {
        return m_socket;
    }

private:
    static constexpr std::size_t buffer_bytes = 4'096;
    static constexpr std::chrono::milliseconds read_timeout{10'000};
    static constexpr std::chrono::milliseconds write_timeout{60'000};

    [[nodiscard]] bool has_buffered_data() const
    {
        return m_begin < m_end;
    }

    [[nodiscard]] short poll_for(short events,
                                 std::chrono::milliseconds wait) const
    {
        pollfd entry{m_socket, events, 0};
        const int ready = ::poll(&entry, 1, static_cast<int>(wait.count()));
        return ready > 0 ? entry.revents : static_cast<short>(0);
    }

    bool fill_buffer()
    {
        if (poll_for(POLLIN, read_timeout) == 0)
        {
            return false;
        }
        const ssize_t received_bytes =
            ::recv(m_socket, m_buffer.data(), m_buffer.size(), 0);
        if (received_bytes <= 0)
        {
            return false;
        }
        m_begin = 0;
        m_end = static_cast<std::size_t>(received_bytes);
        m_counter.bytes_in += received_bytes;
        return true;
    }

    socket_t m_socket;
    traffic_counter& m_counter;
    bool m_is_dropped = false;
    bool m_is_reply_written = false;
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
    std::array<char, buffer_bytes> m_buffer{};
};

} // namespace turmeric::standins
