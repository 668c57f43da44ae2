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
    if (shard.is_left)
    {
        return !shard.bills.empty();
    }
    if (shard.is_dirty || is_leavable(shard))
    {
        return true;
    }
    const bool is_old =
        now.steady - shard.refreshed_at >= m_settings.refresh_interval;
    return is_old && !shard.budgets.empty();
}

bool router_ledger::is_leavable(const shard_state& shard) const
{
    return m_is_draining && !shard.is_left && m_holds.empty() &&
           shard.bills.empty() && shard.operation > 0;
}

std::optional<router_batch> router_ledger::plan(std::int32_t shard,
                                                ledger_time now)
{
    auto place = m_shards.find(shard);
    if (place == m_shards.end() || !is_due(place->second, now))
    {
        return std::nullopt;
    }
    shard_state& state = place->second;
    if (!state.batch.has_value())
    {
        make_batch(state, now);
    }
    // A batch that is sent again much later must not carry a past term.
    state.batch->term_end = std::chrono::time_point_cast<std::chrono::seconds>(
        now.system + m_settings.grant_term);
    state.is_in_flight = true;
    return state.batch;
}

void router_ledger::make_batch(shard_state& shard, ledger_time now)
{
    router_batch batch;
    batch.incarnation = m_incarnation;
    batch.operation = ++shard.operation;
    batch.is_leaving = is_leavable(shard) && batch.operation > 1;
    shard.batch_made = now.steady;
    shard.is_dirty = false;
    if (batch.operation > 1)
    {
        add_bills(shard, batch);
    }
    add_lines(shard, batch, now);
    shard.batch = std::move(batch);
}

void router_ledger::add_bills(shard_state& shard, router_batch& batch)
{
    shard.batch_holds.clear();
    while (!shard.bills.empty() &&
           batch.bills.size() < m_settings.bills_per_batch)
    {
        pending_bill& bill = shard.bills.front();
        shard.batch_holds.push_back(bill.hold);
        batch.bills.push_back(std::move(bill.line));
        shard.bills.pop_front();
    }
    shard.is_dirty = shard.is_dirty || !shard.bills.empty();
}

void router_ledger::add_lines(shard_state& shard, router_batch& batch,
                              ledger_time now)
{
    const bool is_refresh =
        now.steady - shard.refreshed_at >= m_settings.refresh_interval;
    std::set<std::string_view> billed;
    for (const bill_line& bill : batch.bills)
    {
        billed.insert(bill.budget);
    }
    bool is_cut = false;
    for (const std::string& name : shard.budgets)
    {
        budget_state& budget = m_budgets.at(name);
        // The reading of a billed budget must arrive with its bills, or the
        // grant would seem larger than it is.
        const bool is_billed = billed.count(name) > 0;
        if (!budget.is_dirty && !is_refresh && !batch.is_leaving && !is_billed)
        {
            continue;
        }
        if (batch.lines.size() >= m_settings.lines_per_batch && !is_billed)
        {
            is_cut = true;
            budget.is_dirty = true;
            continue;
        }
        batch.lines.push_back(line_for(name, budget, now));
        budget.granted -= batch.lines.back().returned;
        budget.is_rateless = batch.lines.back().rate == 0;
        budget.is_dirty = false;
    }
    shard.is_dirty = shard.is_dirty || is_cut;
    shard.refreshed_at = is_refresh ? now.steady : shard.refreshed_at;
}

budget_line router_ledger::line_for(const std::string& name,
                                    budget_state& budget, ledger_time now) const
{
    budget_line line;
    line.budget = name;
    line.rate = m_is_draining ? 0 : budget.rate.per_minute(now.steady);
    line.needs = needs_of(budget);
    line.returned = surplus_of(budget, line.rate);
    return line;
}

bool router_ledger::gives_all_back(const budget_state& budget) const
{
    // While a need of some router is unmet, parts of grants that are too
    // small for a request here must not lie idle at several routers.
    return m_is_draining || m_is_fenced ||
           (budget.reading.has_value() && budget.reading->is_recalled);
}

std::vector<tokens> router_ledger::needs_of(const budget_state& budget) const
{
    std::vector<tokens> needs;
    tokens unused = gives_all_back(budget) ? 0 : free_of(budget);
    for (const waiting_need& waiting : budget.waiting)
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
    const tokens unused = std::max<tokens>(free_of(budget), 0);
    if (gives_all_back(budget))
    {
        return unused;
    }
    if (!budget.waiting.empty() || !budget.reading.has_value())
    {
        return 0;
    }
    const budget_reading& reading = *budget.reading;
    grant_situation situation;
    situation.remaining =
        reading.pool + reading.others + budget.granted - budget.unsettled;
    situation.rate = rate;
    situation.total_rate = std::max(reading.total_rate, rate);
    constexpr tokens hysteresis_divisor = 4;
    const tokens target = m_policy.target(situation);
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
        take_back(state);
        return {};
    }
    const bool is_leaving = state.batch->is_leaving;
    const bool is_applied = reply.state == batch_state::applied;
    state.is_left = is_leaving || !is_applied;
    m_is_fenced =
        m_is_fenced || reply.is_frozen || (!is_applied && !is_leaving);
    std::vector<bill_receipt> receipts = take_bills(state, reply);
    if (is_applied)
    {
        state.spendable_until =
            state.batch_made + m_settings.grant_term - m_settings.clock_skew;
        take_readings(state, reply);
    }
    state.batch.reset();
    state.is_in_flight = false;
    drop_idle(state);
    return receipts;
}

std::vector<bill_receipt> router_ledger::take_bills(shard_state& shard,
                                                    const batch_reply& reply)
{
    std::vector<bill_receipt> receipts;
    for (std::size_t i = 0; i < shard.batch->bills.size(); ++i)
    {
        const bill_line& line = shard.batch->bills[i];
        bill_receipt receipt;
        receipt.hold = shard.batch_holds[i];
        receipt.key = line.key;
        if (i < reply.bills.size())
        {
            receipt.state = reply.bills[i].state;
            receipt.billed = reply.bills[i].used;
        }
        receipt.is_duplicate = receipt.state == bill_state::duplicate;
        budget_state& budget = m_budgets.at(line.budget);
        budget.unsettled -= line.used;
        --budget.bills;
        m_keys.erase(line.key);
        receipts.push_back(receipt);
    }
    m_pending_bills -= receipts.size();
    shard.batch_holds.clear();
    return receipts;
}

void router_ledger::take_readings(shard_state& shard, const batch_reply& reply)
{
    for (const budget_reading& reading : reply.readings)
    {
        auto place = m_budgets.find(reading.budget);
        if (place == m_budgets.end())
        {
            continue;
        }
        budget_state& budget = place->second;
        budget.granted = reading.outstanding;
        budget.reading = reading;
        budget.read_at = shard.batch_made;
        const bool is_recalled = reading.is_recalled && free_of(budget) > 0;
        if (is_recalled || !budget.waiting.empty())
        {
            mark_dirty(budget);
        }
    }
}

void router_ledger::take_back(shard_state& shard)
{
    router_batch& batch = *shard.batch;
    for (const budget_line& line : batch.lines)
    {
        budget_state& budget = m_budgets.at(line.budget);
        budget.granted += line.returned;
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

void router_ledger::drop_idle(shard_state& shard)
{
    std::erase_if(shard.budgets,
                  [this](const std::string& name)
                  {
                      auto place = m_budgets.find(name);
                      const budget_state& budget = place->second;
                      const bool is_idle =
                          budget.granted == 0 && budget.held == 0 &&
                          budget.bills == 0 && budget.waiting.empty() &&
                          !budget.is_dirty && budget.is_rateless;
                      if (is_idle)
                      {
                          m_budgets.erase(place);
                      }
                      return is_idle;
                  });
}

void router_ledger::start_drain()
{
    m_is_draining = true;
    for (auto& [name, budget] : m_budgets)
    {
        m_waiting -= budget.waiting.size();
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
               (shard.is_left || shard.operation == 0);
    };
    return m_is_draining && m_holds.empty() && m_pending_bills == 0 &&
           std::all_of(m_shards.begin(), m_shards.end(), is_done);
}

} // namespace turmeric::domain
