#pragma once

#include "libraries/domain/move/judge_settings.hpp"
#include "libraries/domain/move/version_tally.hpp"

#include <vector>

namespace turmeric::domain
{

/// What a judge makes of the new version.
struct version_verdict
{
    bool is_bad = false;
    /// The property with the most evidence against the version.
    judged_property property = judged_property::failure;
    /// From 0 (none) to 1 and more (found bad).
    double evidence = 0;
};

/// Judges the new version of one move on one route from cumulative counts.
/// The sequential test runs over the whole move and anew from each mark; half
/// of the level goes to the first and the rest is shared among the planned
/// marks, so the level holds for all together. Old marks are thinned out, the
/// more the older, which can only lessen the evidence. Not thread safe.
class version_judge
{
public:
    /// Starts a judgement. Precondition: `start` is what was counted when the
    /// new version got its first request; the old version's counts within
    /// `start` still serve as its baseline.
    version_judge(const judge_settings& settings, const tally_pair& start);

    /// Starts the test anew from here on, besides the ones that run; without
    /// effect once all planned marks are used.
    void start_window(const tally_pair& now);

    /// Judges what was counted up to now.
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
        /// The rate that the new version would have if it had, at each time,
        /// the old version's rate of that time. As the new version's share
        /// changes, the plain rates of the two are not comparable.
        double standardised_rate;
    };

    [[nodiscard]] bool is_kept(std::size_t number) const;
    /// Tells whether any window's rate is above the old version's; spares
    /// most calls the costly bounds.
    [[nodiscard]] bool has_excess(judged_property property,
                                  const tally_pair& now) const;
    [[nodiscard]] double with_margin(judged_property property,
                                     double rate) const;
    [[nodiscard]] double window_ratio(judged_property property,
                                      double from_rate,
                                      const window_view& window) const;
    /// Returns the windows, the newest first and the whole move last.
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
