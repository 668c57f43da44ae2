#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace turmeric::ports
{

/// Sends and receives datagrams, which may be lost, late or doubled. Used on
/// one thread only.
class datagram_link
{
public:
    datagram_link() = default;
    datagram_link(const datagram_link&) = delete;
    datagram_link& operator=(const datagram_link&) = delete;
    virtual ~datagram_link() = default;

    /// Sends to an address as `10.0.0.1:7340`; one that cannot be sent is
    /// dropped.
    virtual void send(const std::string& address, const std::string& bytes) = 0;

    /// Calls `received` with each datagram that comes. Called once.
    virtual void receive(std::function<void(std::string_view)> received) = 0;
};

} // namespace turmeric::ports
