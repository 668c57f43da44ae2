#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace turmeric::ports
{

/// Sends and receives datagrams, which may be lost, delayed or duplicated.
/// Used on one thread only.
class datagram_link
{
public:
    datagram_link() = default;
    datagram_link(const datagram_link&) = delete;
    datagram_link& operator=(const datagram_link&) = delete;
    virtual ~datagram_link() = default;

    /// Sends `bytes` as one datagram to an address such as `10.0.0.1:7340`.
    /// A datagram that cannot be sent is dropped.
    virtual void send(const std::string& address, const std::string& bytes) = 0;

    /// Starts to receive: `received` is called with each datagram that
    /// arrives. Precondition: `receive` was not called before.
    virtual void receive(std::function<void(std::string_view)> received) = 0;
};

} // namespace turmeric::ports
