#pragma once

#include "libraries/domain/burn/burn_counts.hpp"

#include <chrono>
#include <map>
#include <string>

namespace turmeric::domain
{

/// One router's counts, read at one time.
struct burn_sample
{
    std::chrono::system_clock::time_point time;
    /// The address that the counts were read from.
    std::string router;
    /// True when the router could not be read; there are no counts then.
    bool is_missing = false;
    /// When the process started, in seconds since 1970; 0 when unknown.
    std::int64_t start_s = 0;
    std::map<burn_key, burn_counts> counts;

    bool operator==(const burn_sample&) const = default;
};

} // namespace turmeric::domain
