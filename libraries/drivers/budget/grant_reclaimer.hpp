#pragma once

#include "libraries/core/logger.hpp"
#include "libraries/domain/budget/reclaim_rule.hpp"
#include "libraries/drivers/budget/shard_editor.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace turmeric::drivers
{

/// Returns the evidence about the incarnation of this name. For an
/// incarnation that the controller never observed, it shows no lease, no
/// successor and no removed VM; the grants of that incarnation are reclaimed
/// only when their term is over.
using evidence_of =
    std::function<domain::incarnation_evidence(const std::string& incarnation)>;

/// The number of incarnations that one run froze and closed.
struct reclaim_counts
{
    std::int32_t frozen = 0;
    std::int32_t closed = 0;
};

/// Returns the grants of ended incarnations to their budgets. Run by the
/// leading controller; concurrent runs, also on several controllers, are safe.
/// Thread safe.
class grant_reclaimer
{
public:
    /// Precondition: all references outlive the reclaimer.
    grant_reclaimer(shard_editor& editor, const ports::clock& clock,
                    logger& log, const domain::reclaim_settings& settings);

    /// Freezes and closes the incarnations of one shard for which that is due.
    /// Thread safe; blocks until `deadline` at most.
    ///
    /// Errors: those of `shard_editor::apply`.
    result<reclaim_counts> run(std::int32_t shard, const evidence_of& evidence,
                               ports::steady_time deadline);

private:
    reclaim_counts reclaim(domain::budget_shard& shard,
                           const evidence_of& evidence) const;

    shard_editor& m_editor;
    const ports::clock& m_clock;
    logger& m_log;
    domain::reclaim_settings m_settings;
};

} // namespace turmeric::drivers
