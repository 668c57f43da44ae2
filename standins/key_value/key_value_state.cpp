#include "standins/key_value/key_value_state.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::standins
{

namespace
{

bool is_in_range(const std::string& key, const std::string& first,
                 const std::string& range_end)
{
    if (range_end.empty())
    {
        return key == first;
    }
    const bool is_open = range_end.size() == 1 && range_end.front() == '\0';
    return key >= first && (is_open || key < range_end);
}

bool satisfies_relation(std::int64_t stored, comparison relation,
                        std::int64_t number)
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
                                 std::size_t max_history_events)
    : m_clock(clock)
    , m_max_history_events(max_history_events)
{
}

result<transaction_reply> key_value_state::run(const transaction& request)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    expire_leases();
    transaction_reply reply;
    reply.succeeded =
        std::all_of(request.compares.begin(), request.compares.end(),
                    [this](const compare_operation& compare)
                    { return is_satisfied(compare); });
    const std::vector<operation>& branch =
        reply.succeeded ? request.success : request.failure;
    for (const operation& branch_operation : branch)
    {
        if (has_missing_lease(branch_operation))
        {
            return error{result_code::lease_lost, "lease", "no such lease"};
        }
    }
    const std::int64_t next_revision = m_content.revision + 1;
    const std::int64_t events_before = m_content.recorded_events;
    for (const operation& branch_operation : branch)
    {
        reply.replies.push_back(
            std::visit([this, next_revision](const auto& kind)
                       { return apply(kind, next_revision); },
                       branch_operation));
    }
    if (m_content.recorded_events != events_before)
    {
        m_content.revision = next_revision;
        m_state_changed.notify_all();
    }
    reply.revision = m_content.revision;
    return reply;
}

transaction_reply key_value_state::read(const range_operation& range)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    expire_leases();
    transaction_reply reply;
    reply.succeeded = true;
    reply.revision = m_content.revision;
    reply.replies.push_back(apply(range, m_content.revision));
    return reply;
}

std::int64_t key_value_state::grant_lease(std::int64_t id,
                                          std::chrono::seconds time_to_live)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    expire_leases();
    while (id == 0 || m_content.leases.contains(id))
    {
        id = m_content.next_lease_id++;
    }
    m_content.leases[id] =
        lease_state{time_to_live, m_clock.steady_now() + time_to_live, {}};
    return id;
}

std::chrono::seconds key_value_state::renew_lease(std::int64_t id)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    expire_leases();
    const auto lease = m_content.leases.find(id);
    if (lease == m_content.leases.end())
    {
        return std::chrono::seconds(0);
    }
    lease->second.expires_at =
        m_clock.steady_now() + lease->second.time_to_live;
    return lease->second.time_to_live;
}

bool key_value_state::revoke_lease(std::int64_t id)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    expire_leases();
    const auto lease = m_content.leases.find(id);
    if (lease == m_content.leases.end())
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
    expire_leases();
    const std::int64_t first_era = m_era;
    // A restored store has no history from a revision that it has not reached.
    const bool is_unknown = m_era > 1 && start > m_content.revision + 1;
    m_state_changed.wait_for(lock, wait,
                             [this, start, first_era, is_unknown]
                             {
                                 return m_is_stopped || is_unknown ||
                                        m_era != first_era ||
                                        m_content.revision >= start;
                             });
    expire_leases();
    watch_reply reply;
    reply.revision = m_content.revision;
    if (is_unknown || m_era != first_era)
    {
        reply.compact_revision = m_content.revision;
        return reply;
    }
    if (start <= m_content.compacted_revision)
    {
        reply.compact_revision = m_content.compacted_revision;
        return reply;
    }
    const auto first =
        std::partition_point(m_content.history.begin(), m_content.history.end(),
                             [start](const store_event& event) {
                                 return event.entry.state.mod_revision < start;
                             });
    std::copy_if(
        first, m_content.history.end(), std::back_inserter(reply.events),
        [&range](const store_event& event)
        { return is_in_range(event.entry.key, range.key, range.range_end); });
    return reply;
}

void key_value_state::take_copy()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    expire_leases();
    m_copy = m_content;
}

void key_value_state::restore_copy()
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_content = m_copy;
        ++m_era;
    }
    m_state_changed.notify_all();
}

std::int64_t key_value_state::era()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_era;
}

std::int64_t key_value_state::revision()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    expire_leases();
    return m_content.revision;
}

std::size_t key_value_state::key_count()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    expire_leases();
    return m_content.keys.size();
}

void key_value_state::stop()
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_is_stopped = true;
    }
    m_state_changed.notify_all();
}

void key_value_state::expire_leases()
{
    const ports::steady_time now = m_clock.steady_now();
    for (auto lease = m_content.leases.begin();
         lease != m_content.leases.end();)
    {
        const auto next = std::next(lease);
        if (lease->second.expires_at <= now)
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
    m_content.leases.erase(lease);
    if (keys.empty())
    {
        return;
    }
    ++m_content.revision;
    for (const std::string& key : keys)
    {
        erase_key(m_content.keys.find(key), m_content.revision);
    }
    m_state_changed.notify_all();
}

bool key_value_state::is_satisfied(const compare_operation& compare) const
{
    const auto entry = m_content.keys.find(compare.key);
    const std::int64_t stored =
        entry == m_content.keys.end() ? 0 : entry->second.*compare.target;
    return satisfies_relation(stored, compare.relation, compare.number);
}

bool key_value_state::has_missing_lease(const operation& requested) const
{
    const put_operation* put = std::get_if<put_operation>(&requested);
    return put != nullptr && put->lease != 0 &&
           !m_content.leases.contains(put->lease);
}

operation_reply key_value_state::apply(const range_operation& range,
                                       std::int64_t) const
{
    range_reply reply;
    for (auto entry = m_content.keys.lower_bound(range.key);
         entry != m_content.keys.end() &&
         is_in_range(entry->first, range.key, range.range_end);
         ++entry)
    {
        ++reply.count;
        if (range.limit == 0 || reply.count <= range.limit)
        {
            reply.entries.push_back({entry->first, entry->second});
        }
    }
    return reply;
}

operation_reply key_value_state::apply(const put_operation& put,
                                       std::int64_t revision)
{
    stored_value& state = m_content.keys[put.key];
    detach_from_lease(put.key, state.lease);
    if (state.version == 0)
    {
        state.create_revision = revision;
    }
    ++state.version;
    state.mod_revision = revision;
    state.value = put.value;
    state.lease = put.lease;
    if (put.lease != 0)
    {
        m_content.leases[put.lease].keys.insert(put.key);
    }
    record_event({{put.key, state}, false});
    return put_reply{};
}

operation_reply key_value_state::apply(const delete_operation& deletion,
                                       std::int64_t revision)
{
    delete_reply reply;
    auto entry = m_content.keys.lower_bound(deletion.key);
    while (entry != m_content.keys.end() &&
           is_in_range(entry->first, deletion.key, deletion.range_end))
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
    detach_from_lease(entry->first, entry->second.lease);
    m_content.keys.erase(entry);
    record_event({std::move(deleted), true});
}

void key_value_state::detach_from_lease(const std::string& key,
                                        std::int64_t lease)
{
    const auto found = m_content.leases.find(lease);
    if (found != m_content.leases.end())
    {
        found->second.keys.erase(key);
    }
}

void key_value_state::record_event(store_event event)
{
    m_content.history.push_back(std::move(event));
    ++m_content.recorded_events;
    while (m_content.history.size() > m_max_history_events)
    {
        m_content.compacted_revision =
            m_content.history.front().entry.state.mod_revision;
        m_content.history.pop_front();
    }
}

} // namespace turmeric::standins
