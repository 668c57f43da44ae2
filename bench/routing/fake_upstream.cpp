#include "bench/routing/fake_upstream.hpp"

namespace turmeric::bench
{

fake_upstream::fake_upstream(std::int32_t capacity, std::size_t cached_prefixes)
    : m_capacity(capacity)
    , m_cached_prefixes(cached_prefixes)
{
}

bool fake_upstream::accept(const upstream_request& request)
{
    if (m_running >= m_capacity)
    {
        m_queue.push_back(request);
        return false;
    }
    ++m_running;
    return true;
}

std::optional<upstream_request> fake_upstream::finish()
{
    --m_running;
    if (m_queue.empty())
    {
        return std::nullopt;
    }
    upstream_request next = m_queue.front();
    m_queue.pop_front();
    ++m_running;
    return next;
}

bool fake_upstream::touch(std::uint64_t prefix)
{
    auto found = m_prefix_positions.find(prefix);
    bool is_cached = found != m_prefix_positions.end();
    if (is_cached)
    {
        m_recent_prefixes.erase(found->second);
    }
    m_recent_prefixes.push_front(prefix);
    m_prefix_positions[prefix] = m_recent_prefixes.begin();
    if (m_recent_prefixes.size() > m_cached_prefixes)
    {
        m_prefix_positions.erase(m_recent_prefixes.back());
        m_recent_prefixes.pop_back();
    }
    return is_cached;
}

std::int64_t fake_upstream::held() const
{
    return m_running + waiting();
}

std::int64_t fake_upstream::waiting() const
{
    return static_cast<std::int64_t>(m_queue.size());
}

} // namespace turmeric::bench
