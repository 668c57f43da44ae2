#include "services/entry/thread_link.hpp"

#include <utility>

namespace turmeric::entry
{

namespace asio = adapters::asio;

namespace
{

constexpr std::size_t max_pending_observations = 128;

} // namespace

thread_link::thread_link(asio::io_context& control, asio::io_context& traffic,
                         const ports::clock& clock)
    : m_control_loop(control)
    , m_traffic_loop(traffic)
    , m_clock(clock)
{
}

void thread_link::connect(drivers::traffic_dispatcher& dispatcher,
                          adapters::caller_server& server)
{
    m_dispatcher = &dispatcher;
    m_server = &server;
}

void thread_link::set_routes(std::shared_ptr<const domain::route_table> routes)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_pending.routes = std::move(routes);
    schedule_delivery();
}

void thread_link::set_upstreams(std::vector<domain::upstream_entry> entries)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_pending.upstreams = std::move(entries);
    schedule_delivery();
}

void thread_link::set_fleet(drivers::fleet_view view)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_pending.fleet = std::move(view);
    schedule_delivery();
}

void thread_link::merge_observations(domain::upstream_observations observations)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    // Peers repeat their observations, so those that do not fit come again.
    if (m_pending.observations.size() < max_pending_observations)
    {
        m_pending.observations.push_back(std::move(observations));
        schedule_delivery();
    }
}

void thread_link::request_digest(
    std::function<void(drivers::traffic_digest)> done)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_pending.digest_callbacks.push_back(std::move(done));
    schedule_delivery();
}

void thread_link::release(const std::string& account, std::int64_t requested,
                          std::function<void(std::int64_t)> done)
{
    take_tokens(&drivers::traffic_dispatcher::release, account, requested,
                std::move(done));
}

void thread_link::pass_on(const std::string& account, std::int64_t requested,
                          std::function<void(std::int64_t)> done)
{
    take_tokens(&drivers::traffic_dispatcher::pass_on, account, requested,
                std::move(done));
}

void thread_link::lend(const std::string& account, std::int64_t requested,
                       std::function<void(std::int64_t)> done)
{
    take_tokens(&drivers::traffic_dispatcher::lend, account, requested,
                std::move(done));
}

void thread_link::take_tokens(std::int64_t (drivers::traffic_dispatcher::*take)(
                                  const std::string& account,
                                  std::int64_t requested),
                              const std::string& account,
                              std::int64_t requested,
                              std::function<void(std::int64_t)> done)
{
    asio::post(
        m_traffic_loop,
        [this, take, account, requested, done = std::move(done)]() mutable
        {
            const std::int64_t taken =
                (m_dispatcher->*take)(account, requested);
            asio::post(m_control_loop,
                       [taken, done = std::move(done)] { done(taken); });
        });
}

void thread_link::refuse_pending_holds(const std::string& account)
{
    asio::post(m_traffic_loop, [this, account]
               { m_dispatcher->refuse_pending_holds(account); });
}

void thread_link::schedule_delivery()
{
    if (m_is_delivery_scheduled)
    {
        return;
    }
    m_is_delivery_scheduled = true;
    m_scheduled_at = m_clock.steady_now();
    asio::post(m_traffic_loop, [this] { deliver(); });
}

void thread_link::deliver()
{
    pending_updates updates;
    ports::steady_time scheduled_at;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        updates = std::exchange(m_pending, pending_updates{});
        m_is_delivery_scheduled = false;
        scheduled_at = m_scheduled_at;
    }
    m_dispatcher->record_loop_delay(m_clock.steady_now() - scheduled_at);
    if (updates.routes != nullptr)
    {
        m_server->set_limits(updates.routes->limits());
        m_dispatcher->set_routes(std::move(updates.routes));
    }
    if (updates.upstreams)
    {
        m_dispatcher->set_upstreams(*updates.upstreams);
    }
    if (updates.fleet)
    {
        m_dispatcher->set_fleet(std::move(*updates.fleet));
    }
    for (const domain::upstream_observations& one : updates.observations)
    {
        m_dispatcher->merge_observations(one);
    }
    if (updates.digest_callbacks.empty())
    {
        return;
    }
    drivers::traffic_digest digest = m_dispatcher->digest();
    if (digest.is_refusing)
    {
        digest.unwritten_responses =
            static_cast<std::int64_t>(m_server->unwritten_responses());
    }
    asio::post(m_control_loop,
               [digest_callbacks = std::move(updates.digest_callbacks),
                digest = std::move(digest)]
               {
                   for (const auto& done : digest_callbacks)
                   {
                       done(digest);
                   }
               });
}

} // namespace turmeric::entry
