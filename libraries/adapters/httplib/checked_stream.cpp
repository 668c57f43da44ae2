#include "libraries/adapters/httplib/checked_stream.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

namespace turmeric::adapters
{

namespace
{

using ports::response_defect;

constexpr std::size_t block_bytes = 4'096;

bool wait_for(socket_t socket, short event, std::chrono::milliseconds timeout)
{
    pollfd entry{socket, event, 0};
    int ready = -1;
    do
    {
        ready = ::poll(&entry, 1, static_cast<int>(timeout.count()));
    } while (ready < 0 && errno == EINTR);
    return ready > 0;
}

using name_function = int (*)(int, sockaddr*, socklen_t*);

void read_ip_and_port(name_function read_name, socket_t socket, std::string& ip,
                      int& port)
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    std::array<char, INET_ADDRSTRLEN> text{};
    if (read_name(socket, reinterpret_cast<sockaddr*>(&address), &length) ==
            0 &&
        ::inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size()) !=
            nullptr)
    {
        ip = text.data();
        port = ntohs(address.sin_port);
    }
}

} // namespace

checked_stream::checked_stream(socket_t socket,
                               std::chrono::milliseconds read_timeout,
                               std::chrono::milliseconds write_timeout)
    : m_socket(socket)
    , m_read_timeout(read_timeout)
    , m_write_timeout(write_timeout)
{
}

response_defect checked_stream::defect() const
{
    return m_defect;
}

bool checked_stream::is_readable() const
{
    return m_unread_at < m_unread.size() ||
           wait_for(m_socket, POLLIN, m_read_timeout);
}

bool checked_stream::is_writable() const
{
    return wait_for(m_socket, POLLOUT, m_write_timeout);
}

ssize_t checked_stream::receive(char* target, std::size_t size)
{
    if (!wait_for(m_socket, POLLIN, m_read_timeout))
    {
        return -1;
    }
    ssize_t received = -1;
    do
    {
        received = ::recv(m_socket, target, size, 0);
    } while (received < 0 && errno == EINTR);
    if (received < 0)
    {
        m_defect = errno == ECONNRESET ? response_defect::reset
                                       : response_defect::unacknowledged;
    }
    return received;
}

ssize_t checked_stream::read_head()
{
    std::array<char, block_bytes> block{};
    while (!m_has_head)
    {
        const ssize_t received = receive(block.data(), block.size());
        if (received <= 0)
        {
            if (received == 0 && m_head.has_begun())
            {
                m_defect = response_defect::truncated;
            }
            return received;
        }
        const response_head_reader::progress progress = m_head.append(
            std::string_view(block.data(), static_cast<std::size_t>(received)));
        if (progress == response_head_reader::progress::invalid)
        {
            m_defect = m_head.defect();
            return -1;
        }
        m_has_head = progress == response_head_reader::progress::complete;
    }
    m_unread = m_head.take_bytes();
    return static_cast<ssize_t>(m_unread.size());
}

ssize_t checked_stream::read(char* target, std::size_t size)
{
    if (m_defect != response_defect::none)
    {
        return -1;
    }
    if (!m_has_head)
    {
        const ssize_t received = read_head();
        if (received <= 0)
        {
            return received;
        }
    }
    if (m_unread_at == m_unread.size())
    {
        if (size >= block_bytes)
        {
            return receive(target, size);
        }
        // The library reads lines byte by byte.
        m_unread.resize(block_bytes);
        const ssize_t received = receive(m_unread.data(), m_unread.size());
        m_unread.resize(
            static_cast<std::size_t>(std::max<ssize_t>(received, 0)));
        m_unread_at = 0;
        if (received <= 0)
        {
            return received;
        }
    }
    const std::size_t count = std::min(size, m_unread.size() - m_unread_at);
    std::copy_n(m_unread.data() + m_unread_at, count, target);
    m_unread_at += count;
    return static_cast<ssize_t>(count);
}

ssize_t checked_stream::write(const char* bytes, std::size_t size)
{
    if (!is_writable())
    {
        return -1;
    }
    ssize_t written = -1;
    do
    {
        written = ::send(m_socket, bytes, size, MSG_NOSIGNAL);
    } while (written < 0 && errno == EINTR);
    return written;
}

void checked_stream::get_remote_ip_and_port(std::string& ip, int& port) const
{
    read_ip_and_port(&::getpeername, m_socket, ip, port);
}

void checked_stream::get_local_ip_and_port(std::string& ip, int& port) const
{
    read_ip_and_port(&::getsockname, m_socket, ip, port);
}

socket_t checked_stream::socket() const
{
    return m_socket;
}

} // namespace turmeric::adapters
