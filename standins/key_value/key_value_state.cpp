#include "standins/key_value/key_value_state.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::standins
{

namespace
{

bool is_in(const std::string& key, const std::string& first,
           const std::string& range_end)
{
    if (range_end.empty())
    {
        return key == first;
    }
    const bool is_open = range_end.size() == 1 && range_end.front() == '\0';
    return key >= first && (is_open || key < range_end);
}

bool is_related(std::int64_t stored, comparison relation, std::int64_t number)
{
    switch (relation)
    {
    case comparison::equal:
        return stored == number;
    case comparison::not_equal:
        return stored != number;
    case comparison::greater:
        return stored > number;
    case comparison::less:
        return stored < number;
    }
    return false;
}

} // namespace

key_value_state::key_value_state(const ports::clock& clock,
                                 std::size_t history_limit)
    : m_clock(clock)
    , m_history_limit(history_limit)
{
}

result<transaction_reply> key_value_state::run(const transaction& wanted)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    lapse_leases();
    transaction_reply reply;
    reply.succeeded = std::all_of(
        wanted.compares.begin(), wanted.compares.end(),
        [this](const compare_operation& compare) { return holds(compare); });
    const std::vector<operation>& chosen =
        reply.succeeded ? wanted.success : wanted.failure;
    for (const operation& step : chosen)
    {
        if (names_lost_lease(step))
        {
            return error{result_code::lease_lost, "lease", "no such lease"};
        }
    }
    const std::int64_t next = m_revision + 1;
    const std::int64_t recorded_before = m_recorded;
    for (const operation& step : chosen)
    {
        reply.replies.push_back(std::visit(
            [this, next](const auto& one) { return apply(one, next); }, step));
    }
    if (m_recorded != recorded_before)
    {
        m_revision = next;
        m_changed.notify_all();
    }
    reply.revision = m_revision;
    return reply;
}

transaction_reply key_value_state::read(const range_operation& wanted)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    lapse_leases();
    transaction_reply reply;
    reply.succeeded = true;
    reply.revision = m_revision;
    reply.replies.push_back(apply(wanted, m_revision));
    return reply;
}

std::int64_t key_value_state::grant(std::int64_t id,
                                    std::chrono::seconds time_to_live)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    lapse_leases();
    while (id == 0 || m_leases.contains(id))
    {
        id = m_next_lease++;
    }
    m_leases[id] =
        lease_state{time_to_live, m_clock.steady_now() + time_to_live, {}};
    return id;
}

std::chrono::seconds key_value_state::keep_alive(std::int64_t id)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    lapse_leases();
    const auto lease = m_leases.find(id);
    if (lease == m_leases.end())
    {
        return std::chrono::seconds(0);
    }
    lease->second.lapses_at = m_clock.steady_now() + lease->second.time_to_live;
    return lease->second.time_to_live;
}

bool key_value_state::revoke(std::int64_t id)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    lapse_leases();
    const auto lease = m_leases.find(id);
    if (lease == m_leases.end())
    {
        return false;
    }
    delete_lease(lease);
    return true;
}

watch_reply key_value_state::wait_for_events(const range_operation& range,
                                             std::int64_t start,
                                             std::chrono::milliseconds wait)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    lapse_leases();
    m_changed.wait_for(lock, wait,
                       [this, start]
                       { return m_is_stopped || m_revision >= start; });
    lapse_leases();
    watch_reply reply;
    reply.revision = m_revision;
    if (start <= m_compacted)
    {
        reply.compact_revision = m_compacted;
        return reply;
    }
    const auto first =
        std::partition_point(m_history.begin(), m_history.end(),
                             [start](const store_event& event) {
                                 return event.entry.state.mod_revision < start;
                             });
    std::copy_if(first, m_history.end(), std::back_inserter(reply.events),
                 [&range](const store_event& event) {
                     return is_in(event.entry.key, range.key, range.range_end);
                 });
    return reply;
}

std::int64_t key_value_state::revision()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    lapse_leases();
    return m_revision;
}

std::size_t key_value_state::size()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    lapse_leases();
    return m_keys.size();
}

void key_value_state::stop()
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_is_stopped = true;
    }
    m_changed.notify_all();
}

void key_value_state::lapse_leases()
{
    const ports::steady_time now = m_clock.steady_now();
    for (auto lease = m_leases.begin(); lease != m_leases.end();)
    {
        const auto next = std::next(lease);
        if (lease->second.lapses_at <= now)
        {
            delete_lease(lease);
        }
        lease = next;
    }
}

void key_value_state::delete_lease(
    std::map<std::int64_t, lease_state>::iterator lease)
{
    const std::set<std::string> keys = std::move(lease->second.keys);
    m_leases.erase(lease);
    if (keys.empty())
    {
        return;
    }
    ++m_revision;
    for (const std::string& key : keys)
    {
        erase_key(m_keys.find(key), m_revision);
    }
    m_changed.notify_all();
}

bool key_value_state::holds(const compare_operation& compare) const
{
    const auto entry = m_keys.find(compare.key);
    const std::int64_t stored =
        entry == m_keys.end() ? 0 : entry->second.*compare.target;
    return is_related(stored, compare.relation, compare.number);
}

bool key_value_state::names_lost_lease(const operation& wanted) const
{
    const put_operation* put = std::get_if<put_operation>(&wanted);
    return put != nullptr && put->lease != 0 && !m_leases.contains(put->lease);
}

operation_reply key_value_state::apply(const range_operation& wanted,
                                       std::int64_t) const
{
    range_reply reply;
    for (auto entry = m_keys.lower_bound(wanted.key);
         entry != m_keys.end() &&
         is_in(entry->first, wanted.key, wanted.range_end);
         ++entry)
    {
        ++reply.count;
        if (wanted.limit == 0 || reply.count <= wanted.limit)
        {
            reply.entries.push_back({entry->first, entry->second});
        }
    }
    return reply;
}

operation_reply key_value_state::apply(const put_operation& wanted,
                                       std::int64_t revision)
{
    stored_value& state = m_keys[wanted.key];
    unbind(wanted.key, state.lease);
    if (state.version == 0)
    {
        state.create_revision = revision;
    }
    ++state.version;
    state.mod_revision = revision;
    state.value = wanted.value;
    state.lease = wanted.lease;
    if (wanted.lease != 0)
    {
        m_leases[wanted.lease].keys.insert(wanted.key);
    }
    record({{wanted.key, state}, false});
    return put_reply{};
}

operation_reply key_value_state::apply(const delete_operation& wanted,
                                       std::int64_t revision)
{
    delete_reply reply;
    auto entry = m_keys.lower_bound(wanted.key);
    while (entry != m_keys.end() &&
           is_in(entry->first, wanted.key, wanted.range_end))
    {
        const auto next = std::next(entry);
        erase_key(entry, revision);
        ++reply.deleted;
        entry = next;
    }
    return reply;
}

void key_value_state::erase_key(key_map::iterator entry, std::int64_t revision)
{
    stored_entry deleted;
    deleted.key = entry->first;
    deleted.state.mod_revision = revision;
    unbind(entry->first, entry->second.lease);
    m_keys.erase(entry);
    record({std::move(deleted), true});
}

void key_value_state::unbind(const std::string& key, std::int64_t lease)
{
    const auto found = m_leases.find(lease);
    if (found != m_leases.end())
    {
        found->second.keys.erase(key);
    }
}

void key_value_state::record(store_event event)
{
    m_history.push_back(std::move(event));
    ++m_recorded;
    while (m_history.size() > m_history_limit)
    {
        m_compacted = m_history.front().entry.state.mod_revision;
        m_history.pop_front();
    }
}

} // namespace turmeric::standins
