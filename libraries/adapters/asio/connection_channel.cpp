#include "libraries/adapters/asio/connection_channel.hpp"

#include <utility>

namespace turmeric::adapters
{

connection_channel::connection_channel(
    std::weak_ptr<caller_connection> connection)
    : m_connection(std::move(connection))
{
}

void connection_channel::send_answer(const ports::response_head& head,
                                     std::string body)
{
    if (const auto connection = m_connection.lock())
    {
        connection->send_answer(head, body);
    }
}

void connection_channel::start_answer(const ports::response_head& head)
{
    if (const auto connection = m_connection.lock())
    {
        connection->start_answer(head);
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

void connection_channel::finish_answer()
{
    if (const auto connection = m_connection.lock())
    {
        connection->finish_answer();
    }
}

void connection_channel::break_off()
{
    if (const auto connection = m_connection.lock())
    {
        connection->break_off();
    }
}

} // namespace turmeric::adapters
