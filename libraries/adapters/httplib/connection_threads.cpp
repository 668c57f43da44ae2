#include "libraries/adapters/httplib/connection_threads.hpp"

#include <chrono>
#include <thread>

namespace turmeric::adapters
{

namespace
{

constexpr std::size_t spare_thread_count = 16;
constexpr std::chrono::milliseconds spare_poll{5};

thread_local bool refuses_here = false;

} // namespace

connection_threads::connection_threads(std::size_t max_connections,
                                       std::atomic<std::size_t>& open)
    : m_open(open)
    , m_threads(max_connections)
    , m_spare_threads(spare_thread_count)
{
}

void connection_threads::enqueue(std::function<void()> connection)
{
    auto counted = [this, connection]
    {
        ++m_open;
        connection();
        --m_open;
    };
    if (m_threads.try_run(counted))
    {
        return;
    }
    auto refused = [connection]
    {
        refuses_here = true;
        connection();
        refuses_here = false;
    };
    while (!m_spare_threads.try_run(refused))
    {
        std::this_thread::sleep_for(spare_poll);
    }
}

void connection_threads::shutdown()
{
    m_threads.shut_down();
    m_spare_threads.shut_down();
}

bool connection_threads::is_refusing()
{
    return refuses_here;
}

} // namespace turmeric::adapters
