#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

namespace turmeric::standins
{

/// The prompt blocks whose prefill is cached. Evicts the least recently used
/// block. A block is 16 tokens. Not thread safe.
class prefix_cache
{
public:
    /// `capacity` is the maximum number of blocks; 0 disables the cache.
    explicit prefix_cache(std::size_t capacity);

    /// Returns the number of leading tokens of `prompt` that are cached, and
    /// adds all complete blocks of `prompt` to the cache.
    std::int64_t look_up(std::string_view prompt);

private:
    void mark_used(std::uint64_t block);

    std::size_t m_capacity;
    /// Digests of the blocks, the most recently used one first.
    std::list<std::uint64_t> m_recency_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        m_blocks;
};

} // namespace turmeric::standins
