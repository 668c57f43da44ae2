#include "standins/engine/prefix_cache.hpp"

#include "libraries/domain/digest.hpp"

namespace turmeric::standins
{

namespace
{

constexpr std::size_t block_bytes = 64;
constexpr std::int64_t block_tokens = 16;

} // namespace

prefix_cache::prefix_cache(std::size_t capacity)
    : m_capacity(capacity)
{
}

std::int64_t prefix_cache::look_up(std::string_view prompt)
{
    std::int64_t cached = 0;
    bool is_leading = true;
    std::uint64_t chained_digest = 0;
    for (std::size_t begin = 0; begin + block_bytes <= prompt.size();
         begin += block_bytes)
    {
        // Each block's digest also covers all blocks before it.
        chained_digest = domain::digest_of(prompt.substr(begin, block_bytes),
                                           chained_digest);
        is_leading = is_leading && m_blocks.contains(chained_digest);
        cached += is_leading ? block_tokens : 0;
        mark_used(chained_digest);
    }
    return cached;
}

void prefix_cache::mark_used(std::uint64_t block)
{
    const auto found = m_blocks.find(block);
    if (found != m_blocks.end())
    {
        m_recency_order.splice(m_recency_order.begin(), m_recency_order,
                               found->second);
        return;
    }
    if (m_capacity == 0)
    {
        return;
    }
    if (m_blocks.size() == m_capacity)
    {
        m_blocks.erase(m_recency_order.back());
        m_recency_order.pop_back();
    }
    m_recency_order.push_front(block);
    m_blocks[block] = m_recency_order.begin();
}

} // namespace turmeric::standins
