#include "libraries/domain/placement/upstream_notices.hpp"

namespace turmeric::domain
{

namespace
{

/// Longer than a store stays without the entries of upstreams that serve.
constexpr std::chrono::minutes retention{10};
/// Bounds the memory. More upstreams do not leave within the retention.
constexpr std::size_t max_notices = 16'384;

} // namespace

void upstream_notices::keep_only(const std::set<std::uint64_t>& incarnations,
                                 ports::steady_time now)
{
    for (const std::uint64_t incarnation : incarnations)
    {
        const auto found = m_notices.find(incarnation);
        if (found != m_notices.end())
        {
            found->second.last_known_at = now;
        }
    }
    std::erase_if(m_notices, [now](const auto& entry)
                  { return now - entry.second.last_known_at > retention; });
}

upstream_notices::notice*
upstream_notices::find_or_add(std::uint64_t incarnation, ports::steady_time now)
{
    if (m_notices.size() >= max_notices && m_notices.count(incarnation) == 0)
    {
        return nullptr;
    }
    notice& found = m_notices[incarnation];
    found.last_known_at = now;
    return &found;
}

bool upstream_notices::record_leaving(std::uint64_t incarnation,
                                      ports::steady_time now)
{
    notice* const found = find_or_add(incarnation, now);
    if (found == nullptr || found->is_leaving)
    {
        return false;
    }
    found->is_leaving = true;
    return true;
}

bool upstream_notices::is_leaving(std::uint64_t incarnation) const
{
    const auto found = m_notices.find(incarnation);
    return found != m_notices.end() && found->second.is_leaving;
}

bool upstream_notices::record_pause(std::uint64_t incarnation,
                                    ports::steady_time until,
                                    ports::steady_time now)
{
    notice* const found = find_or_add(incarnation, now);
    if (found == nullptr || until <= now ||
        (found->paused_until && until <= *found->paused_until))
    {
        return false;
    }
    found->paused_until = until;
    return true;
}

std::optional<ports::steady_time>
upstream_notices::paused_until(std::uint64_t incarnation,
                               ports::steady_time now) const
{
    const auto found = m_notices.find(incarnation);
    if (found == m_notices.end() || !found->second.paused_until ||
        now >= *found->second.paused_until)
    {
        return std::nullopt;
    }
    return found->second.paused_until;
}

std::optional<ports::steady_time>
upstream_notices::next_pause_end(ports::steady_time now) const
{
    std::optional<ports::steady_time> next;
    for (const auto& [incarnation, one] : m_notices)
    {
        if (one.paused_until && now < *one.paused_until &&
            (!next || *one.paused_until < *next))
        {
            next = one.paused_until;
        }
    }
    return next;
}

} // namespace turmeric::domain
