#include "libraries/adapters/asio/asio_datagram_link.hpp"

#include "libraries/adapters/asio/socket_options.hpp"

#include <optional>
#include <utility>

namespace turmeric::adapters
{

asio_datagram_link::asio_datagram_link(asio::io_context& loop)
    : m_socket(loop)
{
}

status asio_datagram_link::open(const std::string& address)
{
    const std::optional<tcp::endpoint> endpoint = parse_endpoint(address);
    if (!endpoint)
    {
        return error{result_code::settings_invalid, address,
                     "not an IPv4 address and port"};
    }
    boost::system::error_code error_code;
    m_socket.open(udp::v4(), error_code);
    if (!error_code)
    {
        m_socket.bind(udp::endpoint(endpoint->address(), endpoint->port()),
                      error_code);
    }
    if (!error_code)
    {
        m_socket.non_blocking(true, error_code);
    }
    if (error_code)
    {
        return error{result_code::settings_invalid, address,
                     error_code.message()};
    }
    return success();
}

void asio_datagram_link::send(const std::string& address,
                              const std::string& bytes)
{
    const std::optional<tcp::endpoint> endpoint = parse_endpoint(address);
    if (!endpoint)
    {
        return;
    }
    // A datagram that does not fit into the socket's send buffer is dropped.
    // Users must expect lost datagrams anyway.
    boost::system::error_code ignored;
    m_socket.send_to(asio::buffer(bytes),
                     udp::endpoint(endpoint->address(), endpoint->port()), 0,
                     ignored);
}

void asio_datagram_link::receive(
    std::function<void(std::string_view)> on_received)
{
    m_on_received = std::move(on_received);
    receive_next();
}

void asio_datagram_link::receive_next()
{
    m_socket.async_receive_from(
        asio::buffer(m_receive_buffer), m_sender,
        [this](const boost::system::error_code& error_code, std::size_t bytes)
        {
            if (error_code == asio::error::operation_aborted)
            {
                return;
            }
            if (!error_code)
            {
                m_on_received(std::string_view(m_receive_buffer.data(), bytes));
            }
            receive_next();
        });
}

} // namespace turmeric::adapters
