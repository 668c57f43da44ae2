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

bool is_transient(int fault)
{
    return fault == EAGAIN || fault == EINTR || fault == ENOTCONN;
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
    sockaddr_in target{};
    target.sin_family = AF_INET;
    if (!parsed ||
        ::inet_pton(AF_INET, parsed->host.c_str(), &target.sin_addr) != 1)
    {
        return false;
    }
    target.sin_port = htons(static_cast<std::uint16_t>(parsed->port));
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
    const int begun = ::connect(
        m_socket, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
    if (begun != 0 && errno != EINPROGRESS)
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

transfer connection::flush()
{
    while (m_sent < m_output.size())
    {
        const ssize_t moved = ::send(m_socket, m_output.data() + m_sent,
                                     m_output.size() - m_sent, MSG_NOSIGNAL);
        if (moved < 0)
        {
            return is_transient(errno) ? transfer::would_block
                                       : transfer::closed;
        }
        m_sent += static_cast<std::size_t>(moved);
    }
    m_output.clear();
    m_sent = 0;
    return transfer::moved;
}

transfer connection::read(std::string& into, std::size_t limit) const
{
    into.resize(limit);
    const ssize_t moved = ::recv(m_socket, into.data(), limit, 0);
    if (moved < 0)
    {
        into.clear();
        return is_transient(errno) ? transfer::would_block : transfer::closed;
    }
    into.resize(static_cast<std::size_t>(moved));
    return moved == 0 ? transfer::closed : transfer::moved;
}

} // namespace turmeric::load
