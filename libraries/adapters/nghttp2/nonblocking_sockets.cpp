#include "libraries/adapters/nghttp2/nonblocking_sockets.hpp"

#include <arpa/inet.h>
#include <cerrno>
#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace turmeric::adapters
{

namespace
{

constexpr int listen_backlog = 1024;

/// Resolves a numeric IP address and a port; returns null if either is
/// malformed.
addrinfo* resolve(const std::string& host, const std::string& port)
{
    addrinfo hints{};
    hints.ai_family = AF_UNSPEC;
    hints.ai_socktype = SOCK_STREAM;
    hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
    addrinfo* found = nullptr;
    int status = ::getaddrinfo(host.c_str(), port.c_str(), &hints, &found);
    return status == 0 ? found : nullptr;
}

int port_of(int socket)
{
    sockaddr_storage storage{};
    socklen_t length = sizeof(storage);
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&storage), &length);
    if (storage.ss_family == AF_INET6)
    {
        return ntohs(reinterpret_cast<sockaddr_in6*>(&storage)->sin6_port);
    }
    return ntohs(reinterpret_cast<sockaddr_in*>(&storage)->sin_port);
}

} // namespace

result<listening_socket> open_listener(const std::string& host, int port)
{
    error failure{result_code::settings_invalid, "listen",
                  host + ":" + std::to_string(port) +
                      ": cannot listen on this address"};
    addrinfo* address = resolve(host, std::to_string(port));
    if (address == nullptr)
    {
        return failure;
    }
    listening_socket listener;
    listener.socket = ::socket(address->ai_family,
                               SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(listener.socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    bool is_open =
        ::bind(listener.socket, address->ai_addr, address->ai_addrlen) == 0 &&
        ::listen(listener.socket, listen_backlog) == 0;
    ::freeaddrinfo(address);
    if (!is_open)
    {
        ::close(listener.socket);
        return failure;
    }
    listener.port = port_of(listener.socket);
    return listener;
}

result<int> start_connection(const std::string& address)
{
    error failure{result_code::peer_unavailable, "peer",
                  address + " cannot be reached"};
    std::string::size_type colon = address.rfind(':');
    if (colon == std::string::npos)
    {
        return failure;
    }
    addrinfo* target =
        resolve(address.substr(0, colon), address.substr(colon + 1));
    if (target == nullptr)
    {
        return failure;
    }
    int new_socket = ::socket(target->ai_family,
                              SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(new_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    int status = ::connect(new_socket, target->ai_addr, target->ai_addrlen);
    bool is_started = status == 0 || errno == EINPROGRESS;
    ::freeaddrinfo(target);
    if (!is_started)
    {
        ::close(new_socket);
        return failure;
    }
    return new_socket;
}

} // namespace turmeric::adapters
