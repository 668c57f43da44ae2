#include "bench/routing/upstream_fake.hpp"

namespace turmeric::bench
{

upstream_fake::upstream_fake(std::int32_t capacity, std::size_t cached_prefixes)
    : m_capacity(capacity)
    , m_cached_prefixes(cached_prefixes)
{
}

bool upstream_fake::accept(const running_request& request)
{
    if (m_running >= m_capacity)
    {
        m_queue.push_back(request);
        return false;
    }
    ++m_running;
    return true;
}

std::optional<running_request> upstream_fake::finish()
{
    --m_running;
    if (m_queue.empty())
    {
        return std::nullopt;
    }
    running_request next = m_queue.front();
    m_queue.pop_front();
    ++m_running;
    return next;
}

bool upstream_fake::touch(std::uint64_t prefix)
{
    auto found = m_places.find(prefix);
    bool is_cached = found != m_places.end();
    if (is_cached)
    {
        m_recent.erase(found->second);
    }
    m_recent.push_front(prefix);
    m_places[prefix] = m_recent.begin();
    if (m_recent.size() > m_cached_prefixes)
    {
        m_places.erase(m_recent.back());
        m_recent.pop_back();
    }
    return is_cached;
}

std::int64_t upstream_fake::held() const
{
    return m_running + waiting();
}

std::int64_t upstream_fake::waiting() const
{
    return static_cast<std::int64_t>(m_queue.size());
}

} // namespace turmeric::bench
