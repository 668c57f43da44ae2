#include "libraries/adapters/httplib/connection_thread_pool.hpp"

#include <chrono>
#include <thread>

namespace turmeric::adapters
{

namespace
{

constexpr std::size_t overflow_thread_count = 16;
constexpr std::chrono::milliseconds overflow_retry_interval{5};

thread_local bool is_on_overflow_thread = false;

} // namespace

connection_thread_pool::connection_thread_pool(
    std::size_t max_connections, std::atomic<std::size_t>& open_connections)
    : m_open_connections(open_connections)
    , m_threads(max_connections)
    , m_overflow_threads(overflow_thread_count)
{
}

void connection_thread_pool::enqueue(std::function<void()> connection)
{
    auto run_connection = [this, connection]
    {
        ++m_open_connections;
        connection();
        --m_open_connections;
    };
    if (m_threads.try_run(run_connection))
    {
        return;
    }
    auto refuse_connection = [connection]
    {
        is_on_overflow_thread = true;
        connection();
        is_on_overflow_thread = false;
    };
    while (!m_overflow_threads.try_run(refuse_connection))
    {
        std::this_thread::sleep_for(overflow_retry_interval);
    }
}

void connection_thread_pool::shutdown()
{
    m_threads.shut_down();
    m_overflow_threads.shut_down();
}

bool connection_thread_pool::is_overflow_thread()
{
    return is_on_overflow_thread;
}

} // namespace turmeric::adapters
