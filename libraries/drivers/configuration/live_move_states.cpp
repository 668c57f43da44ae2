#include "libraries/drivers/configuration/live_move_states.hpp"

#include "libraries/drivers/configuration/configuration_keys.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace turmeric::drivers
{

namespace
{

std::optional<std::string> route_of(const std::string& key)
{
    if (!key.starts_with(live_moves_prefix))
    {
        return std::nullopt;
    }
    return key.substr(live_moves_prefix.size());
}

} // namespace

bool live_move_states::apply_list(const ports::key_range& range)
{
    if (range.store_revision < m_store_revision)
    {
        return false;
    }
    m_store_revision = range.store_revision;
    live_move_state_map listed;
    for (const ports::key_value& entry : range.entries)
    {
        const std::optional<std::string> route = route_of(entry.key);
        if (route)
        {
            listed[*route] = {entry.value, entry.modification_revision};
        }
    }
    if (listed == *m_states)
    {
        return false;
    }
    m_states = std::make_shared<const live_move_state_map>(std::move(listed));
    return true;
}

bool live_move_states::apply_events(const ports::watch_batch& batch)
{
    live_move_state_map changed = *m_states;
    for (const ports::key_event& event : batch.events)
    {
        const std::optional<std::string> route = route_of(event.entry.key);
        if (!route || event.entry.modification_revision <= m_store_revision)
        {
            continue;
        }
        if (event.is_deleted)
        {
            changed.erase(*route);
        }
        else
        {
            changed[*route] = {event.entry.value,
                               event.entry.modification_revision};
        }
    }
    m_store_revision = std::max(m_store_revision, batch.store_revision);
    if (changed == *m_states)
    {
        return false;
    }
    m_states = std::make_shared<const live_move_state_map>(std::move(changed));
    return true;
}

std::shared_ptr<const live_move_state_map> live_move_states::current() const
{
    return m_states;
}

ports::revision live_move_states::store_revision() const
{
    return m_store_revision;
}

} // namespace turmeric::drivers
