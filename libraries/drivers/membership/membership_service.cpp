#include "libraries/drivers/membership/membership_service.hpp"

#include "libraries/codecs/membership/membership_json.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::drivers
{

membership_service::membership_service(const domain::member& self,
                                       const membership_settings& settings,
                                       ports::key_value_store& store,
                                       ports::vm_list& vms,
                                       ports::peer_caller& peers,
                                       const ports::clock& clock, logger& log)
    : m_self(self)
    , m_settings(settings)
    , m_store(store)
    , m_vm_list(vms)
    , m_peer_caller(peers)
    , m_clock(clock)
    , m_log(log)
    , m_view(self, settings.limits, clock.steady_now())
    , m_lease(m_self, m_settings, store, log)
{
    publish(m_clock.steady_now());
}

membership_service::~membership_service()
{
    m_stop.request_stop();
    for (std::thread& thread : m_threads)
    {
        thread.join();
    }
}

void membership_service::start()
{
    m_threads.emplace_back([this] { run_platform(); });
    for (std::size_t thread_index = 0;
         thread_index < m_settings.heartbeat_threads; ++thread_index)
    {
        m_threads.emplace_back([this, thread_index]
                               { run_heartbeats(thread_index); });
    }
}

void membership_service::stop()
{
    if (m_threads.empty())
    {
        return;
    }
    m_stop.request_stop();
    for (std::thread& thread : m_threads)
    {
        thread.join();
    }
    m_threads.clear();
    set_state(domain::member_state::stopped);
    run_heartbeat_round(0, 1);
    m_lease.release();
}

void membership_service::set_state(domain::member_state state)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_view.set_state(state);
    m_state = std::max(m_state, state);
}

void membership_service::set_share(std::int64_t share)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_view.set_share(share);
}

void membership_service::set_load(std::int64_t load)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_view.set_load(load, m_clock.steady_now());
}

void membership_service::set_acknowledged(domain::epoch_number number)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_view.set_acknowledged(number);
}

void membership_service::set_configuration(std::int64_t version,
                                           const std::string& digest)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_view.set_configuration(version, digest);
}

std::shared_ptr<const published_membership> membership_service::snapshot() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_published;
}

result<std::string>
membership_service::handle(const ports::peer_message& message)
{
    result<domain::heartbeat> parsed = codecs::read_heartbeat(message.body);
    if (!parsed)
    {
        return parsed.failure();
    }
    domain::heartbeat response;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        ports::steady_time now = m_clock.steady_now();
        m_view.receive(parsed.value(), now);
        response = m_view.make_heartbeat(parsed.value().sender, now);
    }
    return codecs::write_heartbeat(response);
}

void membership_service::run_heartbeats(std::size_t thread_index)
{
    do
    {
        run_heartbeat_round(thread_index, m_settings.heartbeat_threads);
    } while (m_stop.sleep_for(m_settings.heartbeat_interval));
}

void membership_service::run_heartbeat_round(std::size_t offset,
                                             std::size_t stride)
{
    std::vector<domain::member> peers;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (offset == 0)
        {
            m_view.advance(m_clock.steady_now());
        }
        peers = m_view.peers();
    }
    for (std::size_t index = offset; index < peers.size(); index += stride)
    {
        exchange_heartbeats(peers[index]);
    }
    if (offset == 0)
    {
        publish(m_clock.steady_now());
    }
}

void membership_service::exchange_heartbeats(const domain::member& peer)
{
    std::string body;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        body = codecs::write_heartbeat(
            m_view.make_heartbeat(peer.incarnation, m_clock.steady_now()));
    }
    result<std::string> response = m_peer_caller.call(
        peer.peer_address, {"heartbeat", body}, m_settings.heartbeat_timeout);
    if (!response)
    {
        return;
    }
    result<domain::heartbeat> parsed = codecs::read_heartbeat(response.value());
    // Another process may use the address now; only a response from the
    // member itself shows that it is live.
    if (parsed && parsed.value().sender == peer.incarnation)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_view.receive(parsed.value(), m_clock.steady_now());
    }
}

void membership_service::publish(ports::steady_time now)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    std::shared_ptr<published_membership> next =
        std::make_shared<published_membership>();
    next->view = m_view.snapshot(now);
    next->vms = m_vm_entries;
    log_changes(next->view);
    m_published = std::move(next);
}

void membership_service::log_changes(const domain::membership_snapshot& next)
{
    std::set<std::string> eligible;
    for (const domain::member_status& status : next.members)
    {
        if (status.is_eligible)
        {
            eligible.insert(status.row.identity.incarnation);
        }
    }
    for (const std::string& member : eligible)
    {
        if (!m_eligible.contains(member))
        {
            m_log.write(log_level::info, log_event::member_joined,
                        {{"member", member}});
        }
    }
    for (const std::string& member : m_eligible)
    {
        if (!eligible.contains(member))
        {
            m_log.write(log_level::info, log_event::member_left,
                        {{"member", member}});
        }
    }
    m_eligible = std::move(eligible);
}

} // namespace turmeric::drivers
