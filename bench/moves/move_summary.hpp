#pragma once

#include "bench/moves/move_run.hpp"
#include "libraries/core/json.hpp"

#include <array>
#include <cstdint>

namespace turmeric::bench
{

/// Adds up the outcomes of many moves. Not thread safe.
class move_summary
{
public:
    /// Adds one move.
    void add(const move_outcome& outcome);

    /// Returns the figures. Percentages are of moves, or of requests where the
    /// key contains "exposure".
    [[nodiscard]] json to_json() const;

private:
    struct totals
    {
        std::int64_t moves = 0;
        std::int64_t finished = 0;
        std::int64_t rolled_back = 0;
        std::int64_t deadline_rollbacks = 0;
        std::int64_t never_bad = 0;
        std::int64_t requests = 0;
        std::int64_t bad_requests = 0;
        std::int64_t after_evidence_requests = 0;
        std::int64_t after_evidence_leaderless_requests = 0;
    };

    [[nodiscard]] totals all_bad() const;
    [[nodiscard]] static json kind_json(const totals& kind);

    std::array<totals, version_kind_names.size()> m_kinds{};
};

} // namespace turmeric::bench
