#include "libraries/drivers/leadership/leadership.hpp"

#include <utility>

namespace turmeric::drivers
{

leadership::leadership(ports::key_value_store& store, const ports::clock& clock,
                       logger& log, leadership_settings settings)
    : m_store(store)
    , m_clock(clock)
    , m_log(log)
    , m_settings(std::move(settings))
    , m_key("/turmericfront/leaders/" + m_settings.duty)
{
}

leadership::~leadership()
{
    stop();
}

void leadership::start()
{
    m_thread = std::thread([this] { run(); });
}

void leadership::stop()
{
    m_stop.request_stop();
    if (m_thread.joinable())
    {
        m_thread.join();
    }
    if (m_lease != 0)
    {
        stop_leading("stopping");
        (void)m_store.revoke_lease(std::exchange(m_lease, 0));
    }
}

std::optional<ports::revision> leadership::fencing() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_fencing == 0 || m_clock.steady_now() >= m_leads_until)
    {
        return std::nullopt;
    }
    return m_fencing;
}

void leadership::step()
{
    const ports::steady_time requested_at = m_clock.steady_now();
    const bool has_lease =
        m_lease != 0 ? renew(requested_at) : obtain_lease(requested_at);
    bool is_leading = false;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        is_leading = m_fencing != 0;
    }
    if (has_lease && !is_leading)
    {
        contend();
    }
}

void leadership::run()
{
    do
    {
        step();
    } while (m_stop.sleep_for(m_settings.renewal_interval));
}

bool leadership::renew(ports::steady_time requested_at)
{
    const status renewed = m_store.renew_lease(m_lease);
    if (renewed)
    {
        extend_validity(requested_at);
        return true;
    }
    if (renewed.failure().code == result_code::lease_lost)
    {
        m_lease = 0;
        stop_leading("lapsed");
    }
    return false;
}

bool leadership::obtain_lease(ports::steady_time requested_at)
{
    const result<ports::lease_id> created =
        m_store.create_lease(m_settings.time_to_live);
    if (!created)
    {
        return false;
    }
    m_lease = created.value();
    extend_validity(requested_at);
    return true;
}

void leadership::contend()
{
    constexpr ports::revision must_not_exist = 0;
    const result<ports::revision> written = m_store.compare_and_swap(
        m_key, m_settings.holder, must_not_exist, m_lease);
    if (written)
    {
        become_leader(written.value());
        return;
    }
    // A conflict may stem from an earlier write of this process whose reply was
    // lost.
    const result_code code = written.failure().code;
    if (code == result_code::platform_outcome_unknown ||
        code == result_code::platform_conflict)
    {
        resolve_uncertain_write();
    }
}

void leadership::resolve_uncertain_write()
{
    const result<std::optional<ports::key_value>> read = m_store.get(m_key);
    const bool is_own =
        read && read.value() && read.value()->value == m_settings.holder;
    if (!is_own)
    {
        return;
    }
    // The store rejects a write under an expired lease, so the key is bound to
    // the present lease.
    become_leader(read.value()->modification_revision);
}

void leadership::become_leader(ports::revision fencing_number)
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_fencing = fencing_number;
    }
    m_log.write(log_level::info, log_event::lease_acquired,
                {{"duty", m_settings.duty}, {"fencing", fencing_number}});
}

void leadership::stop_leading(const std::string& reason)
{
    bool was_leading = false;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        was_leading = std::exchange(m_fencing, 0) != 0;
    }
    if (was_leading)
    {
        m_log.write(log_level::warning, log_event::lease_lost,
                    {{"duty", m_settings.duty}, {"reason", reason}});
    }
}

void leadership::extend_validity(ports::steady_time requested_at)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_leads_until =
        requested_at + m_settings.time_to_live - m_settings.safety_margin;
}

} // namespace turmeric::drivers
