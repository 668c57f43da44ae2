#include "libraries/adapters/asio/upstream_connection_pool.hpp"

#include "libraries/adapters/asio/connection_probe.hpp"
#include "libraries/adapters/asio/upstream_connection.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::adapters
{

upstream_connection_pool::upstream_connection_pool(asio::io_context& loop,
                                                   const ports::clock& clock)
    : m_loop(loop)
    , m_clock(clock)
{
}

upstream_connection_pool::~upstream_connection_pool() = default;

std::shared_ptr<ports::upstream_call>
upstream_connection_pool::start(ports::outgoing_call call,
                                std::shared_ptr<ports::call_listener> listener)
{
    std::shared_ptr<upstream_connection> connection =
        take_idle_connection(call);
    if (connection == nullptr)
    {
        connection = std::make_shared<upstream_connection>(*this, call.address);
        ++m_opened_connections;
    }
    connection->start_call(std::move(call), std::move(listener));
    return connection;
}

void upstream_connection_pool::probe(
    ports::path_probe sent,
    std::function<void(ports::probe_result result)> done)
{
    const std::shared_ptr<connection_probe> listener =
        std::make_shared<connection_probe>(m_loop, std::move(done));
    const std::chrono::milliseconds timeout = sent.response_timeout;
    ports::outgoing_call call;
    call.address = std::move(sent.address);
    call.bytes = std::move(sent.bytes);
    call.connect_timeout = sent.connect_timeout;
    // Its largest idle time is zero, so the call opens a connection.
    listener->begin(start(std::move(call), listener), timeout);
}

std::shared_ptr<upstream_connection>
upstream_connection_pool::take_idle_connection(const ports::outgoing_call& call)
{
    const auto found = m_idle.find(call.address);
    if (found == m_idle.end())
    {
        return nullptr;
    }
    idle_connections& idle = found->second;
    const ports::steady_time now = m_clock.steady_now();
    // The connection that has been idle for the shortest time is the least
    // likely to have been closed by the upstream.
    if (idle.empty() || !idle.back()->is_usable(now, call.max_idle))
    {
        return nullptr;
    }
    std::shared_ptr<upstream_connection> connection = std::move(idle.back());
    idle.pop_back();
    if (connection->has_carried(call.echoed_field_value))
    {
        // Closed, so that calls with one value do not add up connections.
        connection->cancel();
        return nullptr;
    }
    return connection;
}

void upstream_connection_pool::add_idle_connection(
    std::shared_ptr<upstream_connection> connection)
{
    m_idle[connection->address()].push_back(std::move(connection));
}

void upstream_connection_pool::remove_idle_connection(
    const upstream_connection& connection)
{
    const auto found = m_idle.find(connection.address());
    if (found == m_idle.end())
    {
        return;
    }
    std::erase_if(found->second,
                  [&](const std::shared_ptr<upstream_connection>& idle)
                  { return idle.get() == &connection; });
    if (found->second.empty())
    {
        m_idle.erase(found);
    }
}

void upstream_connection_pool::close_idle_connections(
    const std::string& address)
{
    const auto found = m_idle.find(address);
    if (found == m_idle.end())
    {
        return;
    }
    const idle_connections idle = std::move(found->second);
    m_idle.erase(found);
    for (const std::shared_ptr<upstream_connection>& connection : idle)
    {
        connection->cancel();
    }
}

void upstream_connection_pool::set_meter(domain::link_meter& meter)
{
    m_meter = &meter;
}

std::uint64_t upstream_connection_pool::opened_connections() const
{
    return m_opened_connections;
}

} // namespace turmeric::adapters
