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
    const std::optional<tcp::endpoint> endpoint = read_endpoint(address);
    if (!endpoint)
    {
        return error{result_code::settings_invalid, address,
                     "not an IPv4 address and port"};
    }
    boost::system::error_code fault;
    m_socket.open(udp::v4(), fault);
    if (!fault)
    {
        m_socket.bind(udp::endpoint(endpoint->address(), endpoint->port()),
                      fault);
    }
    if (!fault)
    {
        m_socket.non_blocking(true, fault);
    }
    if (fault)
    {
        return error{result_code::settings_invalid, address, fault.message()};
    }
    return success();
}

void asio_datagram_link::send(const std::string& address,
                              const std::string& bytes)
{
    const std::optional<tcp::endpoint> endpoint = read_endpoint(address);
    if (!endpoint)
    {
        return;
    }
    // A datagram that finds no room is as one that was lost on the way.
    boost::system::error_code ignored;
    m_socket.send_to(asio::buffer(bytes),
                     udp::endpoint(endpoint->address(), endpoint->port()), 0,
                     ignored);
}

void asio_datagram_link::receive(std::function<void(std::string_view)> received)
{
    m_received = std::move(received);
    receive_next();
}

void asio_datagram_link::receive_next()
{
    m_socket.async_receive_from(
        asio::buffer(m_block), m_sender,
        [this](const boost::system::error_code& fault, std::size_t bytes)
        {
            if (fault == asio::error::operation_aborted)
            {
                return;
            }
            if (!fault)
            {
                m_received(std::string_view(m_block.data(), bytes));
            }
            receive_next();
        });
}

} // namespace turmeric::adapters
