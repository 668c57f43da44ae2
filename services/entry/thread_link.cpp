#include "services/entry/thread_link.hpp"

#include <utility>

namespace turmeric::entry
{

namespace asio = adapters::asio;

thread_link::thread_link(asio::io_context& control, asio::io_context& traffic)
    : m_control(control)
    , m_traffic(traffic)
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
    m_mail.routes = std::move(routes);
    post();
}

void thread_link::set_upstreams(std::vector<domain::upstream_entry> entries)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_mail.upstreams = std::move(entries);
    post();
}

void thread_link::set_fleet(drivers::fleet_view view)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_mail.fleet = std::move(view);
    post();
}

void thread_link::request_digest(
    std::function<void(drivers::traffic_digest)> done)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_mail.questions.push_back(std::move(done));
    post();
}

void thread_link::release(const std::string& account, std::int64_t wanted,
                          std::function<void(std::int64_t)> done)
{
    asio::post(m_traffic,
               [this, account, wanted, done = std::move(done)]() mutable
               {
                   const std::int64_t released =
                       m_dispatcher->release(account, wanted);
                   asio::post(m_control, [released, done = std::move(done)]
                              { done(released); });
               });
}

void thread_link::post()
{
    if (m_is_posted)
    {
        return;
    }
    m_is_posted = true;
    asio::post(m_traffic, [this] { deliver(); });
}

void thread_link::deliver()
{
    mail taken;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        taken = std::exchange(m_mail, mail{});
        m_is_posted = false;
    }
    if (taken.routes != nullptr)
    {
        m_server->set_limits(taken.routes->limits());
        m_dispatcher->set_routes(std::move(taken.routes));
    }
    if (taken.upstreams)
    {
        m_dispatcher->set_upstreams(*taken.upstreams);
    }
    if (taken.fleet)
    {
        m_dispatcher->set_fleet(std::move(*taken.fleet));
    }
    if (taken.questions.empty())
    {
        return;
    }
    drivers::traffic_digest seen = m_dispatcher->digest();
    asio::post(m_control,
               [questions = std::move(taken.questions), seen = std::move(seen)]
               {
                   for (const auto& done : questions)
                   {
                       done(seen);
                   }
               });
}

} // namespace turmeric::entry
