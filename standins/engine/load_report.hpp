#pragma once

#include <cstdint>

namespace turmeric::standins
{

/// What an engine reports about its load.
struct load_report
{
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t cache_queried_tokens = 0;
    std::int64_t cache_hit_tokens = 0;

    bool operator==(const load_report&) const = default;
};

} // namespace turmeric::standins
