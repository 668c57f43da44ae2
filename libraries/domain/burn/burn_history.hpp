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

    /// Adds a sample. Precondition: the samples of one router are added in the
    /// order of time.
    void add(burn_sample sample);

    /// Returns the events after `begin` and up to `end` of all routers. A
    /// counter that decreased or a new process start time is a restart, after
    /// which the counters begin at 0. Events between the last sample of a
    /// process and its end are lost; `restarts` shows how often this happened.
    [[nodiscard]] std::map<burn_key, burn_counts>
    counts_within(time_point begin, time_point end) const;

    /// Returns the routers whose last sample at or before `end` is missing.
    [[nodiscard]] std::set<std::string> missing_routers(time_point end) const;

    /// Returns how often each router restarted after `begin` and up to `end`.
    [[nodiscard]] std::map<std::string, int> restarts(time_point begin,
                                                      time_point end) const;

    /// Returns the time of the oldest sample, or `end` when there are none.
    [[nodiscard]] time_point oldest_sample_time(time_point end) const;

    /// Returns the keys of all samples.
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
