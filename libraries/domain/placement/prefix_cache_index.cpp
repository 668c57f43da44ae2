#include "libraries/domain/placement/prefix_cache_index.hpp"

#include <iterator>

namespace turmeric::domain
{

namespace
{

/// A part that was not used for so long may have yielded to others.
constexpr std::chrono::seconds part_lifetime{30};
constexpr std::chrono::seconds sweep_interval{5};

} // namespace

void prefix_cache_index::note(const std::vector<prompt_part>& parts,
                              ports::steady_time now)
{
    forget_old(now);
    for (const prompt_part& part : parts)
    {
        m_last_use[part.id] = now;
    }
}

std::int64_t
prefix_cache_index::cached_tokens(const std::vector<prompt_part>& parts,
                                  ports::steady_time now) const
{
    std::int64_t known = 0;
    for (const prompt_part& part : parts)
    {
        const auto found = m_last_use.find(part.id);
        if (found == m_last_use.end() || now - found->second > part_lifetime)
        {
            break;
        }
        known += part.tokens;
    }
    return known;
}

void prefix_cache_index::forget_old(ports::steady_time now)
{
    if (now - m_swept < sweep_interval)
    {
        return;
    }
    m_swept = now;
    std::erase_if(m_last_use, [now](const auto& entry)
                  { return now - entry.second > part_lifetime; });
}

} // namespace turmeric::domain
