// The member functions of membership_service that call the platform.

#include "libraries/codecs/membership/membership_json.hpp"
#include "libraries/drivers/membership/membership_service.hpp"

#include <algorithm>

namespace turmeric::drivers
{

void membership_service::run_platform()
{
    constexpr std::chrono::milliseconds step{250};
    do
    {
        run_platform_round();
    } while (m_stop.sleep_for(step));
}

void membership_service::run_platform_round()
{
    ports::steady_time now = m_clock.steady_now();
    domain::member_state state = domain::member_state::live;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        state = m_state;
    }
    log_platform_change(m_lease.maintain(state, now));
    if (!m_is_record_read)
    {
        read_epochs();
    }
    std::chrono::milliseconds member_interval =
        scaled_poll_interval(m_settings.member_poll_interval,
                             m_settings.member_poll_interval_per_router);
    if (!m_members_read_at || now - *m_members_read_at >= member_interval)
    {
        read_members(now);
    }
    std::chrono::milliseconds vm_interval = scaled_poll_interval(
        m_settings.vm_poll_interval, m_settings.vm_poll_interval_per_router);
    if (!m_vms_read_at || now - *m_vms_read_at >= vm_interval)
    {
        read_vms(now);
    }
    write_epochs(now);
}

std::chrono::milliseconds membership_service::scaled_poll_interval(
    std::chrono::milliseconds base, std::chrono::milliseconds per_router) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    std::int64_t routers =
        static_cast<std::int64_t>(m_published->view.members.size());
    return std::max(base, per_router * routers);
}

void membership_service::log_platform_change(const status& outcome)
{
    if (!outcome && !m_is_platform_down)
    {
        m_is_platform_down = true;
        m_log.write(log_level::warning, log_event::platform_call_failed,
                    {{"code", std::string(name_of(outcome.failure().code))}});
    }
    if (outcome && m_is_platform_down)
    {
        m_is_platform_down = false;
        m_log.write(log_level::info, log_event::platform_recovered, {});
    }
}

void membership_service::read_members(ports::steady_time now)
{
    // Failed reads count too, so that reads are not repeated every round
    // during an outage.
    m_members_read_at = now;
    result<ports::key_range> listed = m_store.list(m_settings.member_prefix);
    if (!listed)
    {
        return;
    }
    std::vector<domain::member> members;
    for (const ports::key_value& entry : listed.value().entries)
    {
        result<domain::member> member = codecs::read_member(entry.value);
        if (member)
        {
            members.push_back(member.value());
        }
    }
    std::lock_guard<std::mutex> lock(m_mutex);
    m_view.update_leases(members, now);
}

void membership_service::read_vms(ports::steady_time now)
{
    m_vms_read_at = now;
    result<std::vector<ports::vm_entry>> listed = m_vm_list.read();
    if (!listed)
    {
        return;
    }
    std::lock_guard<std::mutex> lock(m_mutex);
    m_view.update_vms(listed.value(), now);
    m_vm_entries = std::move(listed.value());
}

void membership_service::read_epochs()
{
    result<std::optional<ports::key_value>> present =
        m_store.get(m_settings.epoch_key);
    if (!present)
    {
        return;
    }
    m_is_record_read = true;
    m_record_key_revision = 0;
    if (!present.value())
    {
        return;
    }
    m_record_key_revision = present.value()->modification_revision;
    result<domain::epoch_record> record =
        codecs::read_epochs(present.value()->value);
    if (!record)
    {
        // The record must not be overwritten: epochs would be numbered from 1
        // again.
        m_is_record_read = false;
        m_log.write(log_level::error, log_event::platform_call_failed,
                    {{"key", m_settings.epoch_key},
                     {"code", std::string(name_of(record.failure().code))},
                     {"field", record.failure().field}});
        return;
    }
    std::lock_guard<std::mutex> lock(m_mutex);
    m_view.update_record(record.value());
}

void membership_service::write_epochs(ports::steady_time now)
{
    std::optional<domain::epoch_record> next;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        next = m_view.propose(now);
    }
    if (!next || !m_is_record_read)
    {
        return;
    }
    // Another router may have written since. Peers pass its record on, but not
    // the revision of the key, which compare-and-swap needs.
    read_epochs();
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        next = m_view.propose(now);
    }
    if (!next)
    {
        return;
    }
    result<ports::revision> written = m_store.compare_and_swap(
        m_settings.epoch_key, codecs::write_epochs(*next),
        m_record_key_revision, 0);
    if (!written)
    {
        // Reads the record, as the write may have taken effect.
        read_epochs();
        return;
    }
    m_record_key_revision = written.value();
    std::lock_guard<std::mutex> lock(m_mutex);
    m_view.update_record(*next);
}

} // namespace turmeric::drivers
