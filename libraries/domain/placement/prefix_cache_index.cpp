#include "libraries/domain/placement/prefix_cache_index.hpp"

#include <iterator>

namespace turmeric::domain
{

namespace
{

/// An upstream may have evicted a part that was not used for this long.
constexpr std::chrono::seconds part_lifetime{30};
constexpr std::chrono::seconds eviction_interval{5};

} // namespace

void prefix_cache_index::record_use(const std::vector<prompt_part>& parts,
                                    ports::steady_time now)
{
    evict_expired(now);
    for (const prompt_part& part : parts)
    {
        m_last_used[part.id] = now;
    }
}

std::int64_t
prefix_cache_index::cached_tokens(const std::vector<prompt_part>& parts,
                                  ports::steady_time now) const
{
    std::int64_t cached = 0;
    for (const prompt_part& part : parts)
    {
        const auto found = m_last_used.find(part.id);
        if (found == m_last_used.end() || now - found->second > part_lifetime)
        {
            break;
        }
        cached += part.tokens;
    }
    return cached;
}

void prefix_cache_index::evict_expired(ports::steady_time now)
{
    if (now - m_last_eviction < eviction_interval)
    {
        return;
    }
    m_last_eviction = now;
    std::erase_if(m_last_used, [now](const auto& entry)
                  { return now - entry.second > part_lifetime; });
}

} // namespace turmeric::domain
