#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

namespace turmeric::standins
{

/// The blocks of prompts whose prefill is remembered, least recently used
/// first out. Not thread safe.
class prefix_cache
{
public:
    /// Holds up to `capacity` blocks.
    explicit prefix_cache(std::size_t capacity);

    /// Returns how many leading tokens of `prompt` are held and holds all its
    /// whole blocks from now on.
    std::int64_t look_up(std::string_view prompt);

private:
    void mark_used(std::uint64_t block);

    std::size_t m_capacity;
    /// The most recently used block first.
    std::list<std::uint64_t> m_recency_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        m_blocks;
};

} // namespace turmeric::standins
