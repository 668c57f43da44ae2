#pragma once

#include "libraries/domain/move/judge_settings.hpp"
#include "libraries/domain/move/version_tally.hpp"

#include <vector>

namespace turmeric::domain
{

/// The judgement of a new version.
struct version_verdict
{
    bool is_bad = false;
    /// The property that gives the most evidence against the version.
    judged_property property = judged_property::failure;
    /// 0 is no evidence; from 1 on the version is bad.
    double evidence = 0;
};

/// Judges the new version of one move on one route from cumulative counts. The
/// sequential test runs over the whole move and over windows that start later
/// and last until now. Half of the significance level is for the whole move;
/// the rest is divided among the planned windows, so the level holds for all of
/// them together. Of the older windows ever fewer are kept, which can only
/// lessen the evidence. Not thread safe.
class version_judge
{
public:
    /// Starts the judgement. Precondition: `start` has the counts at the time
    /// of the new version's first request; the old version's counts in `start`
    /// are part of its baseline.
    version_judge(const judge_settings& settings, const tally_pair& start);

    /// Starts a further window at the counts `now`. Has no effect once all
    /// planned windows were started.
    void start_window(const tally_pair& now);

    /// Judges the new version by the counts `now`.
    [[nodiscard]] version_verdict judge(const tally_pair& now) const;

private:
    struct window_start
    {
        std::size_t number;
        tally_pair counted;
    };

    struct window_view
    {
        tally_pair counted;
        /// The rate that the new version would have if it had the old
        /// version's rate at each time (direct standardisation). The plain
        /// rates of the two are not comparable because the new version's share
        /// changes over time.
        double standardised_rate;
    };

    [[nodiscard]] bool is_kept(std::size_t number) const;
    /// Returns whether the new version's rate in any window is above the rate
    /// that the old version's rate and the margin allow. Most calls can thus
    /// skip the expensive bounds.
    [[nodiscard]] bool has_excess(judged_property property,
                                  const tally_pair& now) const;
    [[nodiscard]] double with_margin(judged_property property,
                                     double rate) const;
    [[nodiscard]] double window_ratio(judged_property property,
                                      double from_rate,
                                      const window_view& window) const;
    /// Returns the windows, newest first; the last is the whole move.
    [[nodiscard]] std::vector<window_view> windows(judged_property property,
                                                   double from_rate,
                                                   const tally_pair& now) const;
    [[nodiscard]] double total_ratio(judged_property property,
                                     const tally_pair& now) const;

    judge_settings m_settings;
    tally_pair m_move_start;
    std::vector<window_start> m_window_starts;
    std::size_t m_started_windows = 0;
};

} // namespace turmeric::domain
