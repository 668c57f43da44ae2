#pragma once

#include "libraries/domain/callers/caller_request.hpp"
#include "libraries/ports/clock.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace turmeric::domain
{

/// Tracks the prompt parts that one upstream probably still has in its prefix
/// cache, because it read them for this router within the last 30 seconds.
/// Parts that were not used for longer are evicted, which bounds the size.
/// Not thread safe.
class prefix_cache_index
{
public:
    /// Records that the upstream reads these parts now. No precondition.
    void record_use(const std::vector<prompt_part>& parts,
                    ports::steady_time now);

    /// Returns the number of prompt tokens that the upstream need not read
    /// again: those of the leading parts that it has cached. No precondition.
    [[nodiscard]] std::int64_t
    cached_tokens(const std::vector<prompt_part>& parts,
                  ports::steady_time now) const;

private:
    void evict_expired(ports::steady_time now);

    std::unordered_map<std::uint64_t, ports::steady_time> m_last_used;
    ports::steady_time m_last_eviction{};
};

} // namespace turmeric::domain
