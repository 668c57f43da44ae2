#pragma once

#include "libraries/domain/move/version_judge.hpp"

#include <deque>
#include <memory>
#include <string_view>
#include <utility>

namespace turmeric::bench
{

/// Judges a new version by the request counts of the fleet, as a controller
/// does. Not thread safe.
class verdict_policy
{
public:
    verdict_policy() = default;
    verdict_policy(const verdict_policy&) = delete;
    verdict_policy& operator=(const verdict_policy&) = delete;
    virtual ~verdict_policy() = default;

    /// Returns the verdict on the tallies so far; called at each poll.
    /// `is_step_end` is set when the next step is due. `at_s` is in seconds
    /// after the start.
    virtual domain::version_verdict judge(const domain::tally_pair& now,
                                          double at_s, bool is_step_end) = 0;

    /// Returns whether routers also cut the new version on their own evidence,
    /// without the controller.
    [[nodiscard]] virtual bool has_local_cut() const = 0;
};

/// Makes the policy with the given name, "sequential", "threshold" or
/// "schedule"; returns null for another name. The move's start and deadline are
/// `window_s` apart.
std::unique_ptr<verdict_policy> make_policy(std::string_view name,
                                            double window_s);

/// Applies the sequential test that the controllers use. Not thread safe.
class sequential_policy final : public verdict_policy
{
public:
    /// Judges a move whose start and deadline are `window_s` apart.
    explicit sequential_policy(double window_s);

    domain::version_verdict judge(const domain::tally_pair& now, double at_s,
                                  bool is_step_end) override;
    [[nodiscard]] bool has_local_cut() const override;

private:
    domain::version_judge m_judge;
    double m_window_interval_s;
    double m_window_start_s = 0;
};

/// Finds a version bad when more than a fixed fraction of the requests in the
/// last minute failed or were slow. Not thread safe.
class threshold_policy final : public verdict_policy
{
public:
    domain::version_verdict judge(const domain::tally_pair& now, double at_s,
                                  bool is_step_end) override;
    [[nodiscard]] bool has_local_cut() const override;

private:
    std::deque<std::pair<double, domain::tally_pair>> m_recent_tallies;
};

/// Applies the fixed thresholds only at the end of each step, to the requests
/// of that step. Not thread safe.
class schedule_policy final : public verdict_policy
{
public:
    domain::version_verdict judge(const domain::tally_pair& now, double at_s,
                                  bool is_step_end) override;
    [[nodiscard]] bool has_local_cut() const override;

private:
    domain::tally_pair m_step_start;
};

} // namespace turmeric::bench
