#pragma once

#include <cstdint>

namespace turmeric::standins
{

/// The load of an engine: its running and waiting requests, and the tokens
/// looked up and found in the prefix cache since the start.
struct load_report
{
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t cache_queried_tokens = 0;
    std::int64_t cache_hit_tokens = 0;

    bool operator==(const load_report&) const = default;
};

} // namespace turmeric::standins
