#include "libraries/drivers/configuration/configuration_follower.hpp"

#include "libraries/codecs/configuration/configuration_codec.hpp"
#include "libraries/drivers/configuration/configuration_keys.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::drivers
{

namespace
{

// If more parts than this are missing, peers are decoded before the platform,
// because reads from the platform are rate limited.
constexpr std::size_t max_parts_without_peers = 4;
constexpr std::size_t max_peers_per_pull = 3;
constexpr int max_rounds_per_peer = 80;

} // namespace

configuration_follower::configuration_follower(ports::key_value_store& store,
                                               logger& log,
                                               follower_peers peers,
                                               follower_timing timing)
    : m_store(store)
    , m_log(log)
    , m_peers(std::move(peers))
    , m_timing(timing)
    , m_replica(codecs::assemble_configuration)
{
}

configuration_follower::~configuration_follower()
{
    stop();
}

void configuration_follower::set_listener(listener on_change)
{
    m_listener = std::move(on_change);
}

void configuration_follower::start()
{
    m_poller = std::thread([this] { run_polls(); });
    m_watcher = std::thread([this] { run_watches(); });
}

void configuration_follower::stop()
{
    m_stop.request_stop();
    for (std::thread* worker : {&m_poller, &m_watcher})
    {
        if (worker->joinable())
        {
            worker->join();
        }
    }
}

std::shared_ptr<const domain::configuration>
configuration_follower::current() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_replica.current();
}

std::shared_ptr<const live_move_state_map> configuration_follower::moves() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_move_states.current();
}

bool configuration_follower::is_platform_up() const
{
    return m_is_platform_up;
}

result<std::string> configuration_follower::serve(const std::string& request)
{
    result<codecs::configuration_request> decoded =
        codecs::decode_configuration_request(request);
    if (!decoded)
    {
        return decoded.failure();
    }
    std::lock_guard<std::mutex> lock(m_mutex);
    return codecs::encode_configuration_response(
        codecs::make_configuration_response(decoded.value(), m_replica.head(),
                                            m_replica.parts()));
}

std::string configuration_follower::request() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return codecs::encode_configuration_request(
        {m_replica.head().version, m_replica.missing_parts()});
}

status configuration_follower::apply_response(const std::string& response)
{
    result<codecs::configuration_response> decoded =
        codecs::decode_configuration_response(response);
    if (!decoded)
    {
        return decoded.failure();
    }
    if (decoded.value().head)
    {
        process_head(codecs::encode_head(*decoded.value().head));
    }
    process_parts(decoded.value().parts);
    return success();
}

status configuration_follower::pull_from(const std::string& address)
{
    std::string last_request;
    for (int round = 0; round < max_rounds_per_peer; ++round)
    {
        const std::string next_request = request();
        if (next_request == last_request)
        {
            break;
        }
        last_request = next_request;
        result<std::string> response = m_peers.caller->call(
            address, {"configuration", last_request}, m_timing.peer_timeout);
        if (!response)
        {
            return response.failure();
        }
        status applied = apply_response(response.value());
        if (!applied)
        {
            return applied;
        }
    }
    return success();
}

status configuration_follower::poll_once()
{
    result<ports::key_range> range = m_store.list(std::string(live_prefix));
    if (!range)
    {
        log_platform_change(range.failure());
        pull_from_peers();
        return range.failure();
    }
    log_platform_change(success());
    bool has_changed = false;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        has_changed = m_move_states.apply_list(range.value());
    }
    if (has_changed)
    {
        notify_listener();
    }
    for (const ports::key_value& entry : range.value().entries)
    {
        if (entry.key == head_key)
        {
            process_head(entry.value);
        }
    }
    fetch_missing_parts();
    return success();
}

status configuration_follower::watch_once()
{
    ports::revision start = 0;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        start = m_move_states.store_revision() + 1;
    }
    if (start == 1)
    {
        return poll_once();
    }
    result<ports::watch_batch> batch =
        m_store.watch(std::string(live_prefix), start, m_timing.watch_timeout);
    if (!batch)
    {
        return batch.failure();
    }
    if (batch.value().is_compacted)
    {
        return poll_once();
    }
    bool has_changed = false;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        has_changed = m_move_states.apply_events(batch.value());
    }
    if (has_changed)
    {
        notify_listener();
    }
    for (const ports::key_event& event : batch.value().events)
    {
        if (event.entry.key == head_key && !event.is_deleted)
        {
            process_head(event.entry.value);
        }
    }
    fetch_missing_parts();
    return success();
}

void configuration_follower::run_polls()
{
    do
    {
        (void)poll_once();
    } while (m_stop.sleep_for(m_timing.poll_interval));
}

void configuration_follower::run_watches()
{
    while (!m_stop.is_stopping())
    {
        status watched = watch_once();
        if (watched)
        {
            continue;
        }
        m_log.write(log_level::debug, log_event::watch_replaced,
                    {{"reason", watched.failure().detail}});
        m_stop.sleep_for(m_timing.watch_retry_delay);
    }
}

void configuration_follower::process_head(const std::string& text)
{
    result<domain::configuration_head> head = codecs::decode_head(text);
    if (!head)
    {
        report_outcome(head.failure());
        return;
    }
    result<bool> offered = false;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        offered = m_replica.offer_head(head.value());
    }
    report_outcome(offered);
}

void configuration_follower::process_parts(
    const std::vector<std::string>& texts)
{
    for (const std::string& text : texts)
    {
        result<bool> offered = false;
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            offered = m_replica.offer_part(text);
        }
        report_outcome(offered);
    }
}

void configuration_follower::fetch_missing_parts()
{
    if (missing_parts().size() > max_parts_without_peers)
    {
        pull_from_peers();
    }
    for (const std::string& digest : missing_parts())
    {
        result<std::optional<ports::key_value>> read =
            m_store.get(part_key(digest));
        if (!read)
        {
            log_platform_change(read.failure());
            return;
        }
        if (read.value())
        {
            process_parts({read.value()->value});
        }
    }
}

void configuration_follower::pull_from_peers()
{
    if (m_peers.caller == nullptr || !m_peers.addresses)
    {
        return;
    }
    std::vector<std::string> addresses = m_peers.addresses();
    addresses.resize(std::min(addresses.size(), max_peers_per_pull));
    for (const std::string& address : addresses)
    {
        if (m_stop.is_stopping())
        {
            return;
        }
        (void)pull_from(address);
    }
}

void configuration_follower::report_outcome(const result<bool>& offered)
{
    if (!offered)
    {
        m_log.write(log_level::error, log_event::configuration_rejected,
                    {{"field", offered.failure().field},
                     {"detail", offered.failure().detail}});
        return;
    }
    if (offered.value())
    {
        m_log.write(log_level::info, log_event::configuration_in_force,
                    {{"version", current()->version}});
        notify_listener();
    }
}

void configuration_follower::log_platform_change(const status& outcome)
{
    const bool was_up = m_is_platform_up.exchange(outcome.has_value());
    if (was_up && !outcome)
    {
        m_log.write(log_level::warning, log_event::platform_call_failed,
                    {{"code", std::string(name_of(outcome.failure().code))},
                     {"detail", outcome.failure().detail}});
    }
    if (!was_up && outcome)
    {
        m_log.write(log_level::info, log_event::platform_recovered, {});
    }
}

void configuration_follower::notify_listener()
{
    if (m_listener)
    {
        m_listener();
    }
}

std::vector<std::string> configuration_follower::missing_parts() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_replica.missing_parts();
}

} // namespace turmeric::drivers
