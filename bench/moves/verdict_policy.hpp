#pragma once

#include "libraries/domain/move/version_judge.hpp"

#include <deque>
#include <memory>
#include <string_view>
#include <utility>

namespace turmeric::bench
{

/// How a controller judges a version from the fleet's counts. Not thread
/// safe.
class verdict_policy
{
public:
    verdict_policy() = default;
    verdict_policy(const verdict_policy&) = delete;
    verdict_policy& operator=(const verdict_policy&) = delete;
    virtual ~verdict_policy() = default;

    /// Judges; called at each poll. `is_step_end` tells that the next step
    /// is due. `at_s` is in seconds after the start.
    virtual domain::version_verdict judge(const domain::tally_pair& now,
                                          double at_s, bool is_step_end) = 0;

    /// Tells whether routers cut on their own evidence as well.
    [[nodiscard]] virtual bool has_local_cut() const = 0;
};

/// Makes the policy of a name: "sequential", "threshold" or "schedule";
/// nothing for another name.
std::unique_ptr<verdict_policy> make_policy(std::string_view name,
                                            double window_s);

/// The sequential test that the controllers run. Not thread safe.
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

/// Found bad when more than a fixed share of the last minute's requests
/// failed or were slow. Not thread safe.
class threshold_policy final : public verdict_policy
{
public:
    domain::version_verdict judge(const domain::tally_pair& now, double at_s,
                                  bool is_step_end) override;
    [[nodiscard]] bool has_local_cut() const override;

private:
    std::deque<std::pair<double, domain::tally_pair>> m_recent_tallies;
};

/// The same rule, looked at only at the end of each step over that step. Not
/// thread safe.
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
