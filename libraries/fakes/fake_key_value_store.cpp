#include "libraries/fakes/fake_key_value_store.hpp"

#include <utility>

namespace turmeric::fakes
{

namespace
{

error unavailable_error()
{
    return error{result_code::platform_unavailable, "", "scripted outage"};
}

error unknown_outcome_error()
{
    return error{result_code::platform_outcome_unknown, "",
                 "scripted loss of the reply", outcome::outcome_unknown};
}

error error_of(store_fault fault)
{
    switch (fault)
    {
    case store_fault::conflict:
        return error{result_code::platform_conflict, "", "scripted conflict"};
    case store_fault::rate_limited:
        return error{result_code::platform_rate_limited, "",
                     "scripted rate limit"};
    default:
        return unavailable_error();
    }
}

bool has_effect(store_fault fault)
{
    return fault == store_fault::none || fault == store_fault::lost_reply;
}

bool has_unknown_outcome(store_fault fault)
{
    return fault == store_fault::lost_reply ||
           fault == store_fault::lost_request ||
           fault == store_fault::delayed_effect;
}

bool starts_with(const std::string& text, const std::string& prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

fake_key_value_store::fake_key_value_store(const ports::clock& clock)
    : m_clock(clock)
{
}

void fake_key_value_store::script(const std::vector<store_fault>& faults)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_script.insert(m_script.end(), faults.begin(), faults.end());
}

void fake_key_value_store::clear_script()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_script.clear();
}

void fake_key_value_store::set_outage(bool is_unavailable)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_is_unavailable = is_unavailable;
}

void fake_key_value_store::set_delay(manual_clock* clock,
                                     std::chrono::nanoseconds delay)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_delay_clock = clock;
    m_delay = delay;
}

void fake_key_value_store::set_hook(std::function<void()> hook)
{
    m_hook = std::move(hook);
}

store_counts fake_key_value_store::counts() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_counts;
}

store_fault fake_key_value_store::begin_call(bool is_write)
{
    if (m_delay_clock != nullptr)
    {
        m_delay_clock->advance(m_delay);
    }
    std::int64_t& count = is_write ? m_counts.writes : m_counts.reads;
    ++count;
    expire_leases();
    if (m_is_unavailable)
    {
        return store_fault::unavailable;
    }
    if (m_script.empty())
    {
        return store_fault::none;
    }
    const store_fault fault = m_script.front();
    m_script.pop_front();
    if (!is_write && has_unknown_outcome(fault))
    {
        return store_fault::unavailable;
    }
    return fault;
}

void fake_key_value_store::expire_leases()
{
    const ports::steady_time now = m_clock.steady_now();
    std::vector<ports::lease_id> expired;
    for (const auto& [id, entry] : m_leases)
    {
        if (entry.expires_at <= now)
        {
            expired.push_back(id);
        }
    }
    for (const ports::lease_id id : expired)
    {
        m_leases.erase(id);
        erase_keys_of_lease(id);
    }
}

void fake_key_value_store::erase_keys_of_lease(ports::lease_id lease)
{
    for (auto entry = m_keys.begin(); entry != m_keys.end();)
    {
        if (entry->second.lease != lease)
        {
            ++entry;
            continue;
        }
        m_events.push_back({{entry->first, "", ++m_revision}, true});
        entry = m_keys.erase(entry);
    }
}

result<std::optional<ports::key_value>>
fake_key_value_store::get(const std::string& key)
{
    if (m_hook)
    {
        m_hook();
    }
    std::lock_guard<std::mutex> lock(m_mutex);
    const store_fault fault = begin_call(false);
    if (fault != store_fault::none)
    {
        return error_of(fault);
    }
    auto found = m_keys.find(key);
    if (found == m_keys.end())
    {
        return std::optional<ports::key_value>();
    }
    return std::optional<ports::key_value>(ports::key_value{
        key, found->second.value, found->second.modification_revision});
}

result<ports::key_range> fake_key_value_store::list(const std::string& prefix)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const store_fault fault = begin_call(false);
    if (fault != store_fault::none)
    {
        return error_of(fault);
    }
    ports::key_range range;
    range.store_revision = m_revision;
    for (auto entry = m_keys.lower_bound(prefix);
         entry != m_keys.end() && starts_with(entry->first, prefix); ++entry)
    {
        range.entries.push_back({entry->first, entry->second.value,
                                 entry->second.modification_revision});
    }
    return range;
}

result<ports::revision> fake_key_value_store::compare_and_swap(
    const std::string& key, const std::string& value, ports::revision expected,
    ports::lease_id lease)
{
    if (m_hook)
    {
        m_hook();
    }
    std::lock_guard<std::mutex> lock(m_mutex);
    const store_fault fault = begin_call(true);
    const delayed_write write{key, value, expected, lease};
    if (fault == store_fault::delayed_effect)
    {
        m_delayed_writes.push_back(write);
    }
    if (!has_effect(fault))
    {
        return has_unknown_outcome(fault) ? unknown_outcome_error()
                                          : error_of(fault);
    }
    result<ports::revision> swapped = swap(write);
    if (fault == store_fault::lost_reply)
    {
        return unknown_outcome_error();
    }
    return swapped;
}

result<ports::revision> fake_key_value_store::swap(const delayed_write& write)
{
    auto found = m_keys.find(write.key);
    const ports::revision modification_revision =
        found == m_keys.end() ? 0 : found->second.modification_revision;
    if (modification_revision != write.expected)
    {
        return error{result_code::platform_conflict, write.key,
                     "another writer changed the key"};
    }
    if (write.lease != 0 && m_leases.count(write.lease) == 0)
    {
        return error{result_code::lease_lost, write.key, "no such lease"};
    }
    m_counts.bytes_written += static_cast<std::int64_t>(write.value.size());
    m_keys[write.key] = {write.value, ++m_revision, write.lease};
    m_events.push_back({{write.key, write.value, m_revision}, false});
    constexpr std::size_t max_events = 256;
    if (m_events.size() > max_events)
    {
        m_compacted_revision =
            m_events[max_events / 2 - 1].entry.modification_revision;
        m_events.erase(m_events.begin(), m_events.begin() + max_events / 2);
    }
    return m_revision;
}

void fake_key_value_store::apply_delayed_writes()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    for (const delayed_write& write : std::exchange(m_delayed_writes, {}))
    {
        static_cast<void>(swap(write));
    }
}

status fake_key_value_store::compare_and_delete(const std::string& key,
                                                ports::revision expected)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const store_fault fault = begin_call(true);
    if (!has_effect(fault))
    {
        return has_unknown_outcome(fault) ? unknown_outcome_error()
                                          : error_of(fault);
    }
    auto found = m_keys.find(key);
    const bool is_match = found != m_keys.end() &&
                          found->second.modification_revision == expected;
    if (is_match)
    {
        m_keys.erase(found);
        m_events.push_back({{key, "", ++m_revision}, true});
    }
    if (fault == store_fault::lost_reply)
    {
        return unknown_outcome_error();
    }
    if (!is_match)
    {
        return error{result_code::platform_conflict, key,
                     "another writer changed the key"};
    }
    return success();
}

result<ports::lease_id>
fake_key_value_store::create_lease(std::chrono::seconds time_to_live)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const store_fault fault = begin_call(true);
    if (fault != store_fault::none)
    {
        return has_unknown_outcome(fault) ? unknown_outcome_error()
                                          : error_of(fault);
    }
    const ports::lease_id created = m_next_lease++;
    m_leases[created] = {time_to_live, m_clock.steady_now() + time_to_live};
    return created;
}

status fake_key_value_store::renew_lease(ports::lease_id lease)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const store_fault fault = begin_call(true);
    if (fault != store_fault::none)
    {
        return has_unknown_outcome(fault) ? unknown_outcome_error()
                                          : error_of(fault);
    }
    auto found = m_leases.find(lease);
    if (found == m_leases.end())
    {
        return error{result_code::lease_lost, "lease", "the lease has expired"};
    }
    found->second.expires_at =
        m_clock.steady_now() + found->second.time_to_live;
    return success();
}

status fake_key_value_store::revoke_lease(ports::lease_id lease)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const store_fault fault = begin_call(true);
    if (fault != store_fault::none)
    {
        return has_unknown_outcome(fault) ? unknown_outcome_error()
                                          : error_of(fault);
    }
    m_leases.erase(lease);
    erase_keys_of_lease(lease);
    return success();
}

result<ports::watch_batch>
fake_key_value_store::watch(const std::string& prefix, ports::revision start,
                            std::chrono::milliseconds /*wait*/)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const store_fault fault = begin_call(false);
    if (fault != store_fault::none)
    {
        return error_of(fault);
    }
    ports::watch_batch batch;
    batch.store_revision = m_revision;
    batch.is_compacted = start <= m_compacted_revision;
    for (const ports::key_event& event : m_events)
    {
        if (event.entry.modification_revision >= start &&
            starts_with(event.entry.key, prefix))
        {
            batch.events.push_back(event);
        }
    }
    return batch;
}

} // namespace turmeric::fakes
