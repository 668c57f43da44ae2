#include "libraries/domain/budget/bill_pages.hpp"
#include "libraries/domain/budget/shard_changes.hpp"
#include "libraries/domain/budget/shard_cleanup.hpp"

#include <algorithm>
#include <cassert>

namespace turmeric::domain
{

namespace
{

/// Slots are reused in turn; a stored bill has two base64 digits for its slot.
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

bill_outcome outcome_of_repeat(const bill_record& recorded,
                               const pending_bill& bill)
{
    const bool is_same = recorded.body_digest == bill.body_digest;
    return {bill.key, is_same ? bill_state::duplicate : bill_state::reused,
            recorded.used};
}

/// Applies one batch to one shard.
class batch_applier
{
public:
    batch_applier(budget_shard& shard, const router_batch& batch,
                  sys_seconds now, const shard_limits& limits,
                  const grant_policy& policy)
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
            return run_first_batch();
        }
        if (m_batch.operation < record->last_operation)
        {
            return {batch_state::stale, false, {}, {}};
        }
        if (m_batch.operation == record->last_operation)
        {
            return repeat_reply(*record);
        }
        if (m_batch.operation != record->last_operation + 1)
        {
            // The incarnation was closed, and a first batch that arrived late
            // created its record again.
            return closed_reply();
        }
        return apply(*record);
    }

private:
    batch_reply run_first_batch()
    {
        const bool is_first = m_batch.operation == 1 && m_batch.bills.empty();
        if (!is_first || m_batch.term_end <= m_now)
        {
            return closed_reply();
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

    batch_reply closed_reply() const
    {
        batch_reply reply;
        reply.state = batch_state::closed;
        for (const pending_bill& bill : m_batch.bills)
        {
            const bill_record* recorded = find_bill(m_shard, bill.key);
            reply.bills.push_back(
                recorded == nullptr
                    ? bill_outcome{bill.key, bill_state::refused, 0}
                    : outcome_of_repeat(*recorded, bill));
        }
        return reply;
    }

    /// Returns the reply again for a batch that took effect but whose reply was
    /// lost.
    batch_reply repeat_reply(const incarnation_record& record)
    {
        batch_reply reply;
        for (const pending_bill& bill : m_batch.bills)
        {
            const bill_record* recorded = find_bill(m_shard, bill.key);
            if (recorded == nullptr)
            {
                // The bill was refused, or it was billed so long ago that its
                // record is removed. In both cases the response must not be
                // delivered now.
                reply.bills.push_back({bill.key, bill_state::expired, 0});
                continue;
            }
            bill_outcome outcome = outcome_of_repeat(*recorded, bill);
            if (recorded->slot == record.slot &&
                outcome.state == bill_state::duplicate)
            {
                outcome.state = bill_state::billed;
            }
            reply.bills.push_back(outcome);
        }
        add_snapshots(reply, record);
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
        for (const pending_bill& bill : m_batch.bills)
        {
            reply.bills.push_back(settle(bill, record.slot));
        }
        for (const budget_update& update : m_batch.updates)
        {
            apply_update(update, record);
        }
        if (record.state == grant_state::active)
        {
            record.term_end = std::max(record.term_end, m_batch.term_end);
        }
        add_snapshots(reply, record);
        if (m_batch.is_leaving)
        {
            remove_incarnation(m_shard, record.slot);
        }
        return reply;
    }

    bill_outcome settle(const pending_bill& bill, std::int32_t slot)
    {
        const bill_record* recorded = find_bill(m_shard, bill.key);
        if (recorded != nullptr)
        {
            return outcome_of_repeat(*recorded, bill);
        }
        if (!bill.is_delivered &&
            m_now > bill.settled_at + m_limits.max_undelivered_bill_age)
        {
            return {bill.key, bill_state::expired, 0};
        }
        auto account = m_shard.budgets.find(bill.budget);
        grant_record* grant = account == m_shard.budgets.end()
                                  ? nullptr
                                  : find_grant(account->second, slot);
        const tokens available = grant == nullptr ? 0 : outstanding_of(*grant);
        if (bill.used < 0 || bill.used > available)
        {
            return {bill.key, bill_state::refused, 0};
        }
        if (grant != nullptr)
        {
            grant->settled += bill.used;
        }
        bills_of_current_page(m_shard, m_now)
            .push_back({bill.key, bill.body_digest, bill.used, slot});
        return {bill.key, bill_state::billed, bill.used};
    }

    void apply_update(const budget_update& update,
                      const incarnation_record& record)
    {
        auto found = m_shard.budgets.find(update.budget);
        if (found == m_shard.budgets.end())
        {
            return;
        }
        budget_account& account = found->second;
        grant_record* grant = find_grant(account, record.slot);
        if (grant != nullptr)
        {
            grant->granted -=
                std::clamp<tokens>(update.returned, 0, outstanding_of(*grant));
            grant->rate = std::max<tokens>(update.rate, 0);
        }
        if (record.state == grant_state::active && !m_batch.is_leaving)
        {
            extend_grant(account, update, record.slot);
        }
        remove_idle_grants(account);
    }

    void extend_grant(budget_account& account, const budget_update& update,
                      std::int32_t slot)
    {
        grant_record* grant = find_or_add_grant(account, update, slot);
        if (grant == nullptr)
        {
            return;
        }
        tokens pool = pool_of(account);
        bool has_unmet_need = false;
        for (const tokens need : update.needs)
        {
            if (need < 0 || need > pool)
            {
                has_unmet_need = true;
                continue;
            }
            grant->granted += need;
            pool -= need;
        }
        if (has_unmet_need)
        {
            account.recalled_until = m_now + m_limits.recall_time;
            return;
        }
        const grant_policy_input input = policy_input_for(account, grant->rate);
        const tokens advance = m_policy.target(input) - outstanding_of(*grant);
        const tokens spare = pool - m_policy.reserve(input);
        // A grant grows by at most its outstanding tokens plus a minute of
        // spending in one step, so that the first router of a budget is not
        // granted all of it before others have reported their spend rates.
        const tokens max_step = outstanding_of(*grant) + grant->rate;
        grant->granted +=
            std::max<tokens>(std::min({advance, spare, max_step}), 0);
    }

    grant_record* find_or_add_grant(budget_account& account,
                                    const budget_update& update,
                                    std::int32_t slot) const
    {
        grant_record* grant = find_grant(account, slot);
        const bool needs_tokens = !update.needs.empty() || update.rate > 0;
        if (grant != nullptr || !needs_tokens ||
            count_grants(m_shard) >= m_limits.grants)
        {
            return grant;
        }
        account.grants.push_back(
            {slot, 0, 0, std::max<tokens>(update.rate, 0)});
        return &account.grants.back();
    }

    [[nodiscard]] grant_policy_input
    policy_input_for(const budget_account& account, tokens rate) const
    {
        grant_policy_input input;
        input.remaining = total_top_ups_of(account) - settled_of(account);
        input.rate = rate;
        for (const grant_record& grant : account.grants)
        {
            input.total_rate += grant.rate;
        }
        input.is_recalled = account.recalled_until > m_now;
        return input;
    }

    void add_snapshots(batch_reply& reply, const incarnation_record& record)
    {
        reply.is_frozen = record.state == grant_state::frozen;
        for (const budget_update& update : m_batch.updates)
        {
            reply.snapshots.push_back(
                make_snapshot(update.budget, record.slot));
        }
    }

    budget_snapshot make_snapshot(const std::string& budget, std::int32_t slot)
    {
        budget_snapshot snapshot;
        snapshot.budget = budget;
        auto found = m_shard.budgets.find(budget);
        if (found == m_shard.budgets.end())
        {
            return snapshot;
        }
        budget_account& account = found->second;
        const grant_record* grant = find_grant(account, slot);
        snapshot.outstanding = grant == nullptr ? 0 : outstanding_of(*grant);
        snapshot.outstanding_of_others =
            domain::outstanding_of(account) - snapshot.outstanding;
        snapshot.pool = pool_of(account);
        const grant_policy_input input = policy_input_for(account, 0);
        snapshot.total_rate = input.total_rate;
        snapshot.is_recalled = input.is_recalled;
        return snapshot;
    }

    budget_shard& m_shard;
    const router_batch& m_batch;
    sys_seconds m_now;
    const shard_limits& m_limits;
    const grant_policy& m_policy;
};

} // namespace

batch_reply apply_batch(budget_shard& shard, const router_batch& batch,
                        sys_seconds now, const shard_limits& limits,
                        const grant_policy& policy)
{
    return batch_applier(shard, batch, now, limits, policy).run();
}

} // namespace turmeric::domain
