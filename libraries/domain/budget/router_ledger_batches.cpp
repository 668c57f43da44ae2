#include "libraries/domain/budget/router_ledger.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace turmeric::domain
{

std::vector<std::int32_t> router_ledger::due_shards(ledger_time now)
{
    std::vector<std::int32_t> due;
    for (const auto& [index, shard] : m_shards)
    {
        if (is_due(shard, now))
        {
            due.push_back(index);
        }
    }
    return due;
}

bool router_ledger::is_due(const shard_state& shard, ledger_time now) const
{
    if (shard.is_in_flight)
    {
        return false;
    }
    if (shard.batch.has_value())
    {
        return true;
    }
    if (shard.has_left)
    {
        return !shard.bills.empty();
    }
    if (shard.is_dirty || can_leave(shard))
    {
        return true;
    }
    const bool is_old =
        now.steady - shard.refreshed_at >= m_settings.refresh_interval;
    return is_old && !shard.budgets.empty();
}

bool router_ledger::can_leave(const shard_state& shard) const
{
    return m_is_draining && !shard.has_left && m_holds.empty() &&
           shard.bills.empty() && shard.operation > 0;
}

std::optional<router_batch> router_ledger::next_batch(std::int32_t shard,
                                                      ledger_time now)
{
    auto found = m_shards.find(shard);
    if (found == m_shards.end() || !is_due(found->second, now))
    {
        return std::nullopt;
    }
    shard_state& state = found->second;
    if (!state.batch.has_value())
    {
        create_batch(state, now);
    }
    // The term is set on each attempt, because a batch that is sent again much
    // later must not have a term that is already over.
    state.batch->term_end = std::chrono::time_point_cast<std::chrono::seconds>(
        now.system + m_settings.grant_term);
    state.is_in_flight = true;
    return state.batch;
}

void router_ledger::create_batch(shard_state& shard, ledger_time now)
{
    router_batch batch;
    batch.incarnation = m_incarnation;
    batch.operation = ++shard.operation;
    batch.is_leaving = can_leave(shard) && batch.operation > 1;
    shard.batch_created_at = now.steady;
    shard.is_dirty = false;
    if (batch.operation > 1)
    {
        add_bills(shard, batch);
    }
    add_updates(shard, batch, now);
    shard.batch = std::move(batch);
}

void router_ledger::add_bills(shard_state& shard, router_batch& batch)
{
    shard.batch_holds.clear();
    while (!shard.bills.empty() &&
           batch.bills.size() < m_settings.bills_per_batch)
    {
        queued_bill& queued = shard.bills.front();
        shard.batch_holds.push_back(queued.hold);
        batch.bills.push_back(std::move(queued.bill));
        shard.bills.pop_front();
    }
    shard.is_dirty = shard.is_dirty || !shard.bills.empty();
}

void router_ledger::add_updates(shard_state& shard, router_batch& batch,
                                ledger_time now)
{
    const bool is_refresh =
        now.steady - shard.refreshed_at >= m_settings.refresh_interval;
    std::set<std::string_view> billed;
    for (const pending_bill& bill : batch.bills)
    {
        billed.insert(bill.budget);
    }
    bool is_truncated = false;
    for (const std::string& name : shard.budgets)
    {
        budget_state& budget = m_budgets.at(name);
        // A billed budget needs a snapshot in the same reply. The reply ends
        // its unsettled bills, so without a snapshot the grant would seem
        // larger than it is.
        const bool is_billed = billed.count(name) > 0;
        if (!budget.is_dirty && !is_refresh && !batch.is_leaving && !is_billed)
        {
            continue;
        }
        if (batch.updates.size() >= m_settings.updates_per_batch && !is_billed)
        {
            is_truncated = true;
            budget.is_dirty = true;
            continue;
        }
        batch.updates.push_back(make_update(name, budget, now));
        budget.granted -= batch.updates.back().returned;
        budget.is_zero_rate_reported = batch.updates.back().rate == 0;
        budget.is_dirty = false;
    }
    shard.is_dirty = shard.is_dirty || is_truncated;
    shard.refreshed_at = is_refresh ? now.steady : shard.refreshed_at;
}

budget_update router_ledger::make_update(const std::string& name,
                                         budget_state& budget,
                                         ledger_time now) const
{
    budget_update update;
    update.budget = name;
    update.rate = m_is_draining ? 0 : budget.rate.per_minute(now.steady);
    update.needs = needs_of(budget);
    update.returned = surplus_of(budget, update.rate);
    return update;
}

bool router_ledger::must_return_all(const budget_state& budget) const
{
    // While a need of any router is unmet, several routers must not keep
    // remainders of grants that are too small for their own requests.
    return m_is_draining || m_is_fenced ||
           (budget.snapshot.has_value() && budget.snapshot->is_recalled);
}

std::vector<tokens> router_ledger::needs_of(const budget_state& budget) const
{
    std::vector<tokens> needs;
    tokens unused = must_return_all(budget) ? 0 : free_tokens_of(budget);
    for (const waiting_request& waiting : budget.waiting)
    {
        const tokens covered = std::clamp<tokens>(unused, 0, waiting.bound);
        unused -= covered;
        if (covered < waiting.bound)
        {
            needs.push_back(waiting.bound - covered);
        }
    }
    return needs;
}

tokens router_ledger::surplus_of(const budget_state& budget, tokens rate) const
{
    const tokens unused = std::max<tokens>(free_tokens_of(budget), 0);
    if (must_return_all(budget))
    {
        return unused;
    }
    if (!budget.waiting.empty() || !budget.snapshot.has_value())
    {
        return 0;
    }
    const budget_snapshot& snapshot = *budget.snapshot;
    grant_policy_input input;
    input.remaining = snapshot.pool + snapshot.outstanding_of_others +
                      budget.granted - budget.unsettled;
    input.rate = rate;
    input.total_rate = std::max(snapshot.total_rate, rate);
    constexpr tokens hysteresis_divisor = 4;
    const tokens target = m_policy.target(input);
    const tokens surplus = budget.granted - budget.unsettled - target;
    if (surplus <= target / hysteresis_divisor)
    {
        return 0;
    }
    return std::min(unused, surplus);
}

std::vector<bill_receipt> router_ledger::on_reply(std::int32_t shard,
                                                  const batch_reply& reply)
{
    shard_state& state = m_shards.at(shard);
    assert(state.batch.has_value());
    if (reply.state == batch_state::full)
    {
        restore_rejected_batch(state);
        return {};
    }
    const bool is_leaving = state.batch->is_leaving;
    const bool is_applied = reply.state == batch_state::applied;
    state.has_left = is_leaving || !is_applied;
    m_is_fenced =
        m_is_fenced || reply.is_frozen || (!is_applied && !is_leaving);
    std::vector<bill_receipt> receipts = collect_receipts(state, reply);
    if (is_applied)
    {
        state.spendable_until = state.batch_created_at + m_settings.grant_term -
                                m_settings.clock_skew;
        apply_snapshots(state, reply);
    }
    state.batch.reset();
    state.is_in_flight = false;
    remove_idle_budgets(state);
    return receipts;
}

std::vector<bill_receipt>
router_ledger::collect_receipts(shard_state& shard, const batch_reply& reply)
{
    std::vector<bill_receipt> receipts;
    for (std::size_t i = 0; i < shard.batch->bills.size(); ++i)
    {
        const pending_bill& bill = shard.batch->bills[i];
        bill_receipt receipt;
        receipt.hold = shard.batch_holds[i];
        receipt.key = bill.key;
        if (i < reply.bills.size())
        {
            receipt.state = reply.bills[i].state;
            receipt.billed = reply.bills[i].used;
        }
        receipt.is_duplicate = receipt.state == bill_state::duplicate;
        budget_state& budget = m_budgets.at(bill.budget);
        budget.unsettled -= bill.used;
        --budget.pending_bills;
        m_in_flight_keys.erase(bill.key);
        receipts.push_back(receipt);
    }
    m_pending_bills -= receipts.size();
    shard.batch_holds.clear();
    return receipts;
}

void router_ledger::apply_snapshots(shard_state& shard,
                                    const batch_reply& reply)
{
    for (const budget_snapshot& snapshot : reply.snapshots)
    {
        auto found = m_budgets.find(snapshot.budget);
        if (found == m_budgets.end())
        {
            continue;
        }
        budget_state& budget = found->second;
        budget.granted = snapshot.outstanding;
        budget.snapshot = snapshot;
        budget.snapshot_at = shard.batch_created_at;
        const bool is_recalled =
            snapshot.is_recalled && free_tokens_of(budget) > 0;
        if (is_recalled || !budget.waiting.empty())
        {
            mark_dirty(budget);
        }
    }
}

void router_ledger::restore_rejected_batch(shard_state& shard)
{
    router_batch& batch = *shard.batch;
    for (const budget_update& update : batch.updates)
    {
        budget_state& budget = m_budgets.at(update.budget);
        budget.granted += update.returned;
        budget.is_dirty = true;
    }
    for (std::size_t i = batch.bills.size(); i > 0; --i)
    {
        shard.bills.push_front(
            {shard.batch_holds[i - 1], std::move(batch.bills[i - 1])});
    }
    shard.batch_holds.clear();
    shard.batch.reset();
    --shard.operation;
    shard.is_dirty = true;
    shard.is_in_flight = false;
}

void router_ledger::on_unresolved(std::int32_t shard)
{
    m_shards.at(shard).is_in_flight = false;
}

void router_ledger::remove_idle_budgets(shard_state& shard)
{
    std::erase_if(shard.budgets,
                  [this](const std::string& name)
                  {
                      auto found = m_budgets.find(name);
                      const budget_state& budget = found->second;
                      const bool is_idle =
                          budget.granted == 0 && budget.held == 0 &&
                          budget.pending_bills == 0 && budget.waiting.empty() &&
                          !budget.is_dirty && budget.is_zero_rate_reported;
                      if (is_idle)
                      {
                          m_budgets.erase(found);
                      }
                      return is_idle;
                  });
}

void router_ledger::start_drain()
{
    m_is_draining = true;
    for (auto& [name, budget] : m_budgets)
    {
        m_waiting_requests -= budget.waiting.size();
        budget.waiting.clear();
        mark_dirty(budget);
    }
}

bool router_ledger::is_drained() const
{
    auto is_done = [](const auto& entry)
    {
        const shard_state& shard = entry.second;
        return !shard.batch.has_value() &&
               (shard.has_left || shard.operation == 0);
    };
    return m_is_draining && m_holds.empty() && m_pending_bills == 0 &&
           std::all_of(m_shards.begin(), m_shards.end(), is_done);
}

} // namespace turmeric::domain
