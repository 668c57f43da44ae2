#include "libraries/adapters/asio/connection_channel.hpp"

#include <utility>

namespace turmeric::adapters
{

connection_channel::connection_channel(
    std::weak_ptr<caller_connection> connection)
    : m_connection(std::move(connection))
{
}

void connection_channel::send_response(const ports::response_head& head,
                                       std::string body)
{
    if (const auto connection = m_connection.lock())
    {
        connection->send_response(head, body);
    }
}

void connection_channel::start_response(const ports::response_head& head)
{
    if (const auto connection = m_connection.lock())
    {
        connection->start_response(head);
    }
}

void connection_channel::send_part(std::string part,
                                   std::function<void()> written)
{
    if (const auto connection = m_connection.lock())
    {
        connection->send_part(part, std::move(written));
    }
}

void connection_channel::finish_response()
{
    if (const auto connection = m_connection.lock())
    {
        connection->finish_response();
    }
}

void connection_channel::abort_response()
{
    if (const auto connection = m_connection.lock())
    {
        connection->abort_response();
    }
}

} // namespace turmeric::adapters
