#pragma once

#include "libraries/adapters/asio/caller_connection.hpp"

#include <functional>
#include <memory>
#include <string>

namespace turmeric::adapters
{

/// Sends the response to one request over the caller's connection. All calls
/// have no effect after the connection has closed. Used on the thread of the
/// connection's event loop only.
class connection_channel final : public ports::caller_channel
{
public:
    /// No precondition.
    explicit connection_channel(std::weak_ptr<caller_connection> connection);

    void send_response(const ports::response_head& head,
                       std::string body) override;
    void start_response(const ports::response_head& head) override;
    void send_part(std::string part, std::function<void()> written) override;
    void finish_response() override;
    void abort_response() override;

private:
    std::weak_ptr<caller_connection> m_connection;
};

} // namespace turmeric::adapters
