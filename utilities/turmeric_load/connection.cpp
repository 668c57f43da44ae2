#include "utilities/turmeric_load/connection.hpp"

#include "libraries/adapters/etcd/host_port.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace turmeric::load
{

namespace
{

constexpr int slow_receive_bytes = 4'096;

bool is_transient(int error_number)
{
    return error_number == EAGAIN || error_number == EINTR ||
           error_number == ENOTCONN;
}

} // namespace

connection::~connection()
{
    close();
}

bool connection::open(const std::string& address, bool is_slow)
{
    m_address = address;
    const std::optional<adapters::host_port> parsed =
        adapters::parse_host_port(address);
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    if (!parsed ||
        ::inet_pton(AF_INET, parsed->host.c_str(), &peer.sin_addr) != 1)
    {
        return false;
    }
    peer.sin_port = htons(static_cast<std::uint16_t>(parsed->port));
    m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_socket < 0)
    {
        return false;
    }
    const int on = 1;
    ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (is_slow)
    {
        ::setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &slow_receive_bytes,
                     sizeof(slow_receive_bytes));
    }
    const int connect_status = ::connect(
        m_socket, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer));
    if (connect_status != 0 && errno != EINPROGRESS)
    {
        close();
        return false;
    }
    return true;
}

void connection::close()
{
    if (m_socket >= 0)
    {
        ::close(m_socket);
    }
    m_socket = -1;
    m_output.clear();
    m_sent = 0;
}

bool connection::is_open() const
{
    return m_socket >= 0;
}

int connection::socket() const
{
    return m_socket;
}

const std::string& connection::address() const
{
    return m_address;
}

void connection::set_output(std::string bytes)
{
    m_output = std::move(bytes);
    m_sent = 0;
}

transfer_result connection::flush()
{
    while (m_sent < m_output.size())
    {
        const ssize_t byte_count =
            ::send(m_socket, m_output.data() + m_sent, m_output.size() - m_sent,
                   MSG_NOSIGNAL);
        if (byte_count < 0)
        {
            return is_transient(errno) ? transfer_result::would_block
                                       : transfer_result::failed;
        }
        m_sent += static_cast<std::size_t>(byte_count);
    }
    m_output.clear();
    m_sent = 0;
    return transfer_result::completed;
}

transfer_result connection::read(std::string& buffer, std::size_t limit) const
{
    buffer.resize(limit);
    const ssize_t byte_count = ::recv(m_socket, buffer.data(), limit, 0);
    if (byte_count < 0)
    {
        buffer.clear();
        return is_transient(errno) ? transfer_result::would_block
                                   : transfer_result::failed;
    }
    buffer.resize(static_cast<std::size_t>(byte_count));
    return byte_count == 0 ? transfer_result::closed
                           : transfer_result::completed;
}

} // namespace turmeric::load
