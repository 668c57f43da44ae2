#pragma once

#include "libraries/adapters/asio/asio.hpp"
#include "libraries/core/result.hpp"
#include "libraries/ports/datagram_link.hpp"

#include <array>
#include <string>

namespace turmeric::adapters
{

/// Sends and receives datagrams over UDP. Used on the thread of its event loop
/// only.
class asio_datagram_link final : public ports::datagram_link
{
public:
    /// Precondition: `loop` outlives this object.
    explicit asio_datagram_link(asio::io_context& loop);

    /// Binds the socket to an IPv4 address and port such as `10.0.0.1:7340`.
    /// Errors: `settings_invalid` if the address is malformed or cannot be
    /// bound.
    status open(const std::string& address);

    void send(const std::string& address, const std::string& bytes) override;
    void receive(std::function<void(std::string_view)> on_received) override;

private:
    void receive_next();

    udp::socket m_socket;
    udp::endpoint m_sender;
    std::array<char, 64 << 10> m_receive_buffer{};
    std::function<void(std::string_view)> m_on_received;
};

} // namespace turmeric::adapters
