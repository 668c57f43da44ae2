#include "libraries/adapters/asio/socket_options.hpp"

#include <charconv>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace turmeric::adapters
{

void set_connection_options(tcp::socket& socket,
                            std::chrono::milliseconds unacknowledged_timeout)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const unsigned int timeout =
        static_cast<unsigned int>(unacknowledged_timeout.count());
    // If the option cannot be set, the timers of the callers of this function
    // close the connection, only later.
    static_cast<void>(::setsockopt(socket.native_handle(), IPPROTO_TCP,
                                   TCP_USER_TIMEOUT, &timeout,
                                   sizeof(timeout)));
}

void reset_connection(tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

std::optional<tcp::endpoint> parse_endpoint(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
    {
        return std::nullopt;
    }
    boost::system::error_code error_code;
    const asio::ip::address_v4 host =
        asio::ip::make_address_v4(address.substr(0, colon), error_code);
    if (error_code)
    {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char* end = address.data() + address.size();
    const auto [rest, port_error] =
        std::from_chars(address.data() + colon + 1, end, port);
    if (port_error != std::errc() || rest != end || port == 0)
    {
        return std::nullopt;
    }
    return tcp::endpoint(host, port);
}

result<tcp::acceptor> listen_on(asio::io_context& loop,
                                const std::string& address)
{
    const std::optional<tcp::endpoint> endpoint = parse_endpoint(address);
    if (!endpoint)
    {
        return error{result_code::settings_invalid, address,
                     "not an IPv4 address and port"};
    }
    boost::system::error_code error_code;
    tcp::acceptor acceptor(loop);
    acceptor.open(endpoint->protocol(), error_code);
    if (!error_code)
    {
        acceptor.set_option(asio::socket_base::reuse_address(true), error_code);
    }
    if (!error_code)
    {
        acceptor.bind(*endpoint, error_code);
    }
    constexpr int backlog = 1'024;
    if (!error_code)
    {
        acceptor.listen(backlog, error_code);
    }
    if (error_code)
    {
        return error{result_code::settings_invalid, address,
                     error_code.message()};
    }
    return acceptor;
}

} // namespace turmeric::adapters
