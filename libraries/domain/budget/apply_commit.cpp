#include "libraries/domain/budget/bill_pages.hpp"
#include "libraries/domain/budget/fold_grants.hpp"
#include "libraries/domain/budget/shard_changes.hpp"

#include <algorithm>
#include <cassert>

namespace turmeric::domain
{

namespace
{

constexpr std::int32_t slot_count = 4096;

std::size_t count_grants(const budget_shard& shard)
{
    std::size_t count = 0;
    for (const auto& [key, account] : shard.budgets)
    {
        count += account.grants.size();
    }
    return count;
}

tokens outstanding_of(const grant_record& grant)
{
    return grant.granted - grant.settled;
}

bill_outcome repeat_of(const bill_record& known, const bill_line& line)
{
    const bool is_same = known.body_digest == line.body_digest;
    return {line.key, is_same ? bill_state::duplicate : bill_state::reused,
            known.used};
}

/// One batch on its way into one shard.
class commit_step
{
public:
    commit_step(budget_shard& shard, const router_batch& batch, sys_seconds now,
                const shard_limits& limits, const grant_policy& policy)
        : m_shard(shard)
        , m_batch(batch)
        , m_now(now)
        , m_limits(limits)
        , m_policy(policy)
    {
    }

    batch_reply run()
    {
        incarnation_record* record =
            find_incarnation(m_shard, m_batch.incarnation);
        if (record == nullptr)
        {
            return run_unregistered();
        }
        if (m_batch.operation < record->last_operation)
        {
            return {batch_state::stale, false, {}, {}};
        }
        if (m_batch.operation == record->last_operation)
        {
            return repeat(*record);
        }
        if (m_batch.operation != record->last_operation + 1)
        {
            // The record was closed and a late first batch made it anew.
            return refuse_closed();
        }
        return apply(*record);
    }

private:
    batch_reply run_unregistered()
    {
        const bool is_first = m_batch.operation == 1 && m_batch.bills.empty();
        if (!is_first || m_batch.term_end <= m_now)
        {
            return refuse_closed();
        }
        if (m_shard.incarnations.size() >= m_limits.incarnations)
        {
            return {batch_state::full, false, {}, {}};
        }
        incarnation_record record;
        record.name = m_batch.incarnation;
        record.slot = m_shard.next_slot;
        m_shard.next_slot = (m_shard.next_slot + 1) % slot_count;
        m_shard.incarnations.push_back(record);
        return apply(m_shard.incarnations.back());
    }

    batch_reply refuse_closed() const
    {
        batch_reply reply;
        reply.state = batch_state::closed;
        for (const bill_line& line : m_batch.bills)
        {
            const bill_record* known = find_bill(m_shard, line.key);
            reply.bills.push_back(
                known == nullptr
                    ? bill_outcome{line.key, bill_state::refused, 0}
                    : repeat_of(*known, line));
        }
        return reply;
    }

    /// The batch took effect before and its reply was lost.
    batch_reply repeat(const incarnation_record& record)
    {
        batch_reply reply;
        for (const bill_line& line : m_batch.bills)
        {
            const bill_record* known = find_bill(m_shard, line.key);
            if (known == nullptr)
            {
                // Refused, or billed so long ago that it is forgotten. Either
                // way the answer must not be released now.
                reply.bills.push_back({line.key, bill_state::expired, 0});
                continue;
            }
            bill_outcome outcome = repeat_of(*known, line);
            if (known->slot == record.slot &&
                outcome.state == bill_state::duplicate)
            {
                outcome.state = bill_state::billed;
            }
            reply.bills.push_back(outcome);
        }
        finish(reply, record);
        return reply;
    }

    batch_reply apply(incarnation_record& record)
    {
        trim(m_shard, m_now, m_limits);
        if (count_bills(m_shard) + m_batch.bills.size() > m_limits.bills)
        {
            return {batch_state::full, false, {}, {}};
        }
        record.last_operation = m_batch.operation;
        batch_reply reply;
        for (const bill_line& line : m_batch.bills)
        {
            reply.bills.push_back(settle(line, record.slot));
        }
        for (const budget_line& line : m_batch.lines)
        {
            apply_line(line, record);
        }
        if (record.state == grant_state::active)
        {
            record.term_end = std::max(record.term_end, m_batch.term_end);
        }
        finish(reply, record);
        if (m_batch.is_leaving)
        {
            end_incarnation(m_shard, record.slot);
        }
        return reply;
    }

    bill_outcome settle(const bill_line& line, std::int32_t slot)
    {
        const bill_record* known = find_bill(m_shard, line.key);
        if (known != nullptr)
        {
            return repeat_of(*known, line);
        }
        if (!line.is_delivered && m_now > line.settled_at + m_limits.late_after)
        {
            return {line.key, bill_state::expired, 0};
        }
        auto account = m_shard.budgets.find(line.budget);
        grant_record* grant = account == m_shard.budgets.end()
                                  ? nullptr
                                  : find_grant(account->second, slot);
        const tokens available = grant == nullptr ? 0 : outstanding_of(*grant);
        if (line.used < 0 || line.used > available)
        {
            return {line.key, bill_state::refused, 0};
        }
        if (grant != nullptr)
        {
            grant->settled += line.used;
        }
        page_of(m_shard, m_now)
            .push_back({line.key, line.body_digest, line.used, slot});
        return {line.key, bill_state::billed, line.used};
    }

    void apply_line(const budget_line& line, const incarnation_record& record)
    {
        auto place = m_shard.budgets.find(line.budget);
        if (place == m_shard.budgets.end())
        {
            return;
        }
        budget_account& account = place->second;
        grant_record* grant = find_grant(account, record.slot);
        if (grant != nullptr)
        {
            grant->granted -=
                std::clamp<tokens>(line.returned, 0, outstanding_of(*grant));
            grant->rate = std::max<tokens>(line.rate, 0);
        }
        if (record.state == grant_state::active && !m_batch.is_leaving)
        {
            extend(account, line, record.slot);
        }
        fold_idle_grants(account);
    }

    void extend(budget_account& account, const budget_line& line,
                std::int32_t slot)
    {
        grant_record* grant = find_or_add(account, line, slot);
        if (grant == nullptr)
        {
            return;
        }
        tokens pool = pool_of(account);
        bool is_unmet = false;
        for (const tokens need : line.needs)
        {
            if (need < 0 || need > pool)
            {
                is_unmet = true;
                continue;
            }
            grant->granted += need;
            pool -= need;
        }
        if (is_unmet)
        {
            account.recalled_until = m_now + m_limits.recall_time;
            return;
        }
        const grant_situation situation = situation_of(account, grant->rate);
        const tokens ahead =
            m_policy.target(situation) - outstanding_of(*grant);
        const tokens spare = pool - m_policy.reserve(situation);
        // A grant at most doubles in one step, so that the first router of a
        // budget does not take it whole before others have shown their rate.
        const tokens step = outstanding_of(*grant) + grant->rate;
        grant->granted += std::max<tokens>(std::min({ahead, spare, step}), 0);
    }

    grant_record* find_or_add(budget_account& account, const budget_line& line,
                              std::int32_t slot) const
    {
        grant_record* grant = find_grant(account, slot);
        const bool is_wanted = !line.needs.empty() || line.rate > 0;
        if (grant != nullptr || !is_wanted ||
            count_grants(m_shard) >= m_limits.grants)
        {
            return grant;
        }
        account.grants.push_back({slot, 0, 0, std::max<tokens>(line.rate, 0)});
        return &account.grants.back();
    }

    [[nodiscard]] grant_situation situation_of(const budget_account& account,
                                               tokens rate) const
    {
        grant_situation situation;
        situation.remaining = total_of(account) - settled_of(account);
        situation.rate = rate;
        for (const grant_record& grant : account.grants)
        {
            situation.total_rate += grant.rate;
        }
        situation.is_recalled = account.recalled_until > m_now;
        return situation;
    }

    void finish(batch_reply& reply, const incarnation_record& record)
    {
        reply.is_frozen = record.state == grant_state::frozen;
        for (const budget_line& line : m_batch.lines)
        {
            reply.readings.push_back(read(line.budget, record.slot));
        }
    }

    budget_reading read(const std::string& budget, std::int32_t slot)
    {
        budget_reading reading;
        reading.budget = budget;
        auto place = m_shard.budgets.find(budget);
        if (place == m_shard.budgets.end())
        {
            return reading;
        }
        budget_account& account = place->second;
        const grant_record* grant = find_grant(account, slot);
        reading.outstanding = grant == nullptr ? 0 : outstanding_of(*grant);
        reading.others = domain::outstanding_of(account) - reading.outstanding;
        reading.pool = pool_of(account);
        const grant_situation situation = situation_of(account, 0);
        reading.total_rate = situation.total_rate;
        reading.is_recalled = situation.is_recalled;
        return reading;
    }

    budget_shard& m_shard;
    const router_batch& m_batch;
    sys_seconds m_now;
    const shard_limits& m_limits;
    const grant_policy& m_policy;
};

} // namespace

batch_reply apply_commit(budget_shard& shard, const router_batch& batch,
                         sys_seconds now, const shard_limits& limits,
                         const grant_policy& policy)
{
    return commit_step(shard, batch, now, limits, policy).run();
}

} // namespace turmeric::domain
