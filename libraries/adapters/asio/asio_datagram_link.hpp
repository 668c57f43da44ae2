#pragma once

#include "libraries/adapters/asio/asio.hpp"
#include "libraries/core/result.hpp"
#include "libraries/ports/datagram_link.hpp"

#include <array>
#include <string>

namespace turmeric::adapters
{

/// Datagrams over UDP. Used on its loop's thread only.
class asio_datagram_link final : public ports::datagram_link
{
public:
    /// Precondition: `loop` outlives the link.
    explicit asio_datagram_link(asio::io_context& loop);

    /// Binds to an address. Errors: `settings_invalid`.
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
