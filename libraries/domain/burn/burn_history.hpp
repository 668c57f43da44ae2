#pragma once

#include "libraries/domain/burn/burn_sample.hpp"

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace turmeric::domain
{

/// Samples of all routers over time. Not thread safe.
class burn_history
{
public:
    using time_point = std::chrono::system_clock::time_point;

    /// Adds a sample. Samples of one router come in the order of time.
    void add(burn_sample sample);

    /// Returns what happened from `begin` (excluded) to `end` over all
    /// routers. A counter that fell, or a new process start, is a restart: it
    /// counts from 0. Events between the last reading of a process and its
    /// end are lost; each restart adds to `restarts`.
    [[nodiscard]] std::map<burn_key, burn_counts>
    counts_within(time_point begin, time_point end) const;

    /// Returns the routers whose last sample at or before `end` is missing.
    [[nodiscard]] std::set<std::string> missing_routers(time_point end) const;

    /// Returns how often each router restarted in the window.
    [[nodiscard]] std::map<std::string, int> restarts(time_point begin,
                                                      time_point end) const;

    /// Returns the time of the oldest sample, or `end` without samples.
    [[nodiscard]] time_point oldest_sample_time(time_point end) const;

    /// Returns the keys that any sample has.
    [[nodiscard]] std::set<burn_key> keys() const;

private:
    [[nodiscard]] static bool is_restart(const burn_sample& before,
                                         const burn_sample& after);
    static void add_increase(const burn_sample* before,
                             const burn_sample& after,
                             std::map<burn_key, burn_counts>& sum);
    [[nodiscard]] bool started_within(const burn_sample& first,
                                      time_point begin) const;

    std::map<std::string, std::vector<burn_sample>> m_routers;
};

} // namespace turmeric::domain
