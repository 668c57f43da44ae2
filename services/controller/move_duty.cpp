#include "services/controller/move_duty.hpp"

#include <utility>

namespace turmeric::controller
{

namespace
{

constexpr std::chrono::milliseconds connect_timeout{500};
constexpr std::size_t max_idle_connections = 1;
// Loads are rate-limited to protect the weight store, so few orders run at a
// time.
constexpr std::size_t max_concurrent_orders = 16;

} // namespace

move_duty::move_duty(const move_duty_dependencies& dependencies,
                     drivers::leadership_settings leading)
    : m_leader(dependencies.store, dependencies.clock, dependencies.log,
               std::move(leading))
    , m_upstreams(connect_timeout, max_idle_connections)
    , m_orders(m_upstreams)
    , m_tasks(max_concurrent_orders)
    , m_driver({},
               {[this] { return m_leader.fencing(); }, dependencies.routers,
                dependencies.configuration},
               dependencies.store, dependencies.peers, m_orders,
               dependencies.clock, dependencies.log,
               [this](const std::function<void()>& task)
               {
                   if (!m_tasks.try_run(task))
                   {
                       task();
                   }
               })
{
}

move_duty::~move_duty()
{
    stop();
}

void move_duty::start()
{
    m_leader.start();
    m_thread = std::thread([this] { m_driver.run(m_stop); });
}

void move_duty::stop()
{
    m_stop.request_stop();
    if (m_thread.joinable())
    {
        m_thread.join();
    }
    m_leader.stop();
    m_tasks.shut_down();
}

bool move_duty::is_leading() const
{
    return m_leader.fencing().has_value();
}

} // namespace turmeric::controller
