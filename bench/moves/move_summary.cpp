#include "bench/moves/move_summary.hpp"

namespace turmeric::bench
{

namespace
{

double percent(std::int64_t part, std::int64_t total)
{
    return total == 0
               ? 0
               : 100.0 * static_cast<double>(part) / static_cast<double>(total);
}

} // namespace

void move_summary::add(const move_outcome& outcome)
{
    totals& kind = m_kinds[static_cast<std::size_t>(outcome.kind)];
    const bool is_bad_kind = outcome.kind != version_kind::good;
    if (is_bad_kind && !outcome.was_bad)
    {
        ++kind.never_bad;
        return;
    }
    ++kind.moves;
    kind.finished += outcome.is_finished_in_time ? 1 : 0;
    kind.rolled_back += outcome.is_rolled_back ? 1 : 0;
    kind.deadline_rollbacks += outcome.is_deadline_rollback ? 1 : 0;
    kind.requests += outcome.requests;
    kind.bad_requests += outcome.bad_requests;
    kind.after_evidence_requests += outcome.after_evidence_requests;
    kind.after_evidence_leaderless_requests +=
        outcome.after_evidence_leaderless_requests;
}

move_summary::totals move_summary::all_bad() const
{
    totals sum;
    for (std::size_t index = 1; index < m_kinds.size(); ++index)
    {
        const totals& kind = m_kinds[index];
        sum.moves += kind.moves;
        sum.rolled_back += kind.rolled_back;
        sum.requests += kind.requests;
        sum.bad_requests += kind.bad_requests;
        sum.after_evidence_requests += kind.after_evidence_requests;
        sum.after_evidence_leaderless_requests +=
            kind.after_evidence_leaderless_requests;
    }
    return sum;
}

json move_summary::kind_json(const totals& kind)
{
    return {{"moves", kind.moves},
            {"finished_in_time", kind.finished},
            {"taken_back", kind.rolled_back},
            {"taken_back_late", kind.deadline_rollbacks},
            {"never_bad", kind.never_bad},
            {"exposure_percent", percent(kind.bad_requests, kind.requests)},
            {"after_evidence_requests", kind.after_evidence_requests}};
}

json move_summary::to_json() const
{
    const totals& good = m_kinds.front();
    const totals bad = all_bad();
    json out = {
        {"good_moves", good.moves},
        {"bad_moves", bad.moves},
        {"good_on_time_percent", percent(good.finished, good.moves)},
        {"bad_taken_back_percent", percent(bad.rolled_back, bad.moves)},
        {"bad_exposure_percent", percent(bad.bad_requests, bad.requests)},
        {"after_evidence_requests", bad.after_evidence_requests},
        {"after_evidence_leaderless_requests",
         bad.after_evidence_leaderless_requests},
        {"false_take_back_percent",
         percent(good.rolled_back - good.deadline_rollbacks, good.moves)}};
    for (std::size_t index = 0; index < m_kinds.size(); ++index)
    {
        out["kinds"][std::string(version_kind_names[index])] =
            kind_json(m_kinds[index]);
    }
    return out;
}

} // namespace turmeric::bench
