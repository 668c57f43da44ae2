#include "libraries/domain/budget/router_ledger.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace turmeric::domain
{

namespace
{

constexpr tokens max_hold_tokens = 1'000'000'000'000;

error ledger_full_error(const char* field)
{
    return error{result_code::ledger_full, field,
                 "the ledger has reached its limit on entries"};
}

} // namespace

router_ledger::router_ledger(const router_ledger_settings& settings,
                             std::string incarnation,
                             const grant_policy& policy)
    : m_settings(settings)
    , m_incarnation(std::move(incarnation))
    , m_policy(policy)
{
    assert(settings.shard_count > 0);
}

result<hold_id> router_ledger::place_hold(const hold_request& request,
                                          ledger_time now)
{
    const std::uint64_t key = bill_key(request.account, request.request_id);
    status checked = check_request(request, key);
    if (!checked)
    {
        return checked.failure();
    }
    const std::string name = budget_key(request.account, request.budget);
    result<budget_state*> opened = find_or_add_budget(request, name);
    if (!opened)
    {
        return opened.failure();
    }
    budget_state& budget = *opened.value();
    const bool is_covered =
        free_tokens_of(budget) >=
        request.upper_bound + tokens_waiting_before(budget, key);
    if (is_covered && !is_expired(budget, now))
    {
        return create_hold(budget, request, name, key);
    }
    return queue_for_grant(budget, request, key, now);
}

status router_ledger::check_request(const hold_request& request,
                                    std::uint64_t key) const
{
    if (request.upper_bound < 0 || request.upper_bound > max_hold_tokens)
    {
        return error{result_code::amount_overflow, "upper_bound",
                     "the upper bound is negative or too large"};
    }
    if (m_is_fenced)
    {
        return error{result_code::grant_expired, "",
                     "this router's grants were closed or frozen"};
    }
    if (m_is_draining)
    {
        return error{result_code::router_stopping, "",
                     "this router is draining and places no more holds"};
    }
    auto found = m_in_flight_keys.find(key);
    if (found != m_in_flight_keys.end())
    {
        const bool is_same = found->second == request.body_digest;
        return error{is_same ? result_code::duplicate_request
                             : result_code::request_id_reused,
                     "request_id", "a request with this id is in flight"};
    }
    if (m_holds.size() >= m_settings.holds)
    {
        return ledger_full_error("holds");
    }
    return success();
}

result<router_ledger::budget_state*>
router_ledger::find_or_add_budget(const hold_request& request,
                                  const std::string& key)
{
    auto found = m_budgets.find(key);
    if (found != m_budgets.end())
    {
        return &found->second;
    }
    if (m_budgets.size() >= m_settings.budgets)
    {
        return ledger_full_error("budgets");
    }
    budget_state& added =
        m_budgets.emplace(key, budget_state(m_settings.rate_window))
            .first->second;
    added.shard = shard_for(request.account);
    m_shards[added.shard].budgets.insert(key);
    return &added;
}

hold_id router_ledger::create_hold(budget_state& budget,
                                   const hold_request& request,
                                   const std::string& name, std::uint64_t key)
{
    m_waiting_requests -=
        std::erase_if(budget.waiting, [key](const waiting_request& candidate)
                      { return candidate.key == key; });
    const hold_id id = m_next_hold++;
    m_holds.emplace(
        id, open_hold{name, key, request.body_digest, request.upper_bound});
    m_in_flight_keys.emplace(key, request.body_digest);
    budget.held += request.upper_bound;
    return id;
}

error router_ledger::queue_for_grant(budget_state& budget,
                                     const hold_request& request,
                                     std::uint64_t key, ledger_time now)
{
    auto queued = std::find_if(budget.waiting.begin(), budget.waiting.end(),
                               [key](const waiting_request& candidate)
                               { return candidate.key == key; });
    const bool is_new = queued == budget.waiting.end();
    const ports::steady_time since =
        is_new ? now.steady - m_settings.max_snapshot_age : queued->since;
    if (is_exhausted(budget, request.upper_bound, since))
    {
        return cancel_wait(request, now);
    }
    if (is_new && budget.waiting.size() >= m_settings.waiting_per_budget)
    {
        return ledger_full_error("waiting");
    }
    if (is_new)
    {
        budget.waiting.push_back({key, request.upper_bound, now.steady});
        ++m_waiting_requests;
        mark_dirty(budget);
    }
    return error{is_expired(budget, now) ? result_code::grant_expired
                                         : result_code::grant_unavailable,
                 "budget", "the request waits for a grant"};
}

error router_ledger::cancel_wait(const hold_request& request, ledger_time now)
{
    const std::uint64_t key = bill_key(request.account, request.request_id);
    const std::string name = budget_key(request.account, request.budget);
    error failure{result_code::grant_unavailable, "budget",
                  "no grant was available in time"};
    auto found = m_budgets.find(name);
    if (found == m_budgets.end())
    {
        return failure;
    }
    budget_state& budget = found->second;
    ports::steady_time since = now.steady - m_settings.max_snapshot_age;
    auto queued = std::find_if(budget.waiting.begin(), budget.waiting.end(),
                               [key](const waiting_request& candidate)
                               { return candidate.key == key; });
    if (queued != budget.waiting.end())
    {
        since = queued->since;
        budget.waiting.erase(queued);
        --m_waiting_requests;
    }
    const bool is_snapshot_recent =
        budget.snapshot.has_value() && budget.snapshot_at >= since;
    if (is_snapshot_recent &&
        budget.snapshot->pool + free_tokens_of(budget) < request.upper_bound)
    {
        return error{result_code::budget_exhausted, "budget",
                     "the budget has too few tokens left"};
    }
    if (is_expired(budget, now))
    {
        failure.code = result_code::grant_expired;
    }
    return failure;
}

result<pending_bill> router_ledger::settle(hold_id hold, tokens used,
                                           ledger_time now)
{
    auto found = m_holds.find(hold);
    if (found == m_holds.end())
    {
        return error{result_code::invalid_field, "hold", "no such hold",
                     outcome::outcome_unknown};
    }
    if (m_pending_bills >= m_settings.pending_bills)
    {
        error refusal = ledger_full_error("pending_bills");
        refusal.effect = outcome::outcome_unknown;
        return refusal;
    }
    const open_hold& open = found->second;
    budget_state& budget = m_budgets.at(open.budget);
    const tokens billed = std::clamp<tokens>(used, 0, open.bound);
    budget.held -= open.bound;
    budget.unsettled += billed;
    ++budget.pending_bills;
    budget.rate.add(billed, now.steady);
    const pending_bill bill{
        open.budget,
        open.key,
        open.body_digest,
        billed,
        std::chrono::time_point_cast<std::chrono::seconds>(now.system),
        false};
    m_shards[budget.shard].bills.push_back({hold, bill});
    ++m_pending_bills;
    mark_dirty(budget);
    m_holds.erase(found);
    return bill;
}

void router_ledger::mark_delivered(std::int32_t shard, hold_id hold)
{
    auto found = m_shards.find(shard);
    if (found == m_shards.end())
    {
        return;
    }
    shard_state& state = found->second;
    for (std::size_t i = 0; i < state.batch_holds.size(); ++i)
    {
        if (state.batch_holds[i] == hold)
        {
            state.batch->bills[i].is_delivered = true;
            return;
        }
    }
    auto pending = std::find_if(state.bills.rbegin(), state.bills.rend(),
                                [hold](const queued_bill& candidate)
                                { return candidate.hold == hold; });
    if (pending != state.bills.rend())
    {
        pending->bill.is_delivered = true;
    }
}

void router_ledger::release(hold_id hold)
{
    auto found = m_holds.find(hold);
    if (found == m_holds.end())
    {
        return;
    }
    budget_state& budget = m_budgets.at(found->second.budget);
    budget.held -= found->second.bound;
    m_in_flight_keys.erase(found->second.key);
    m_holds.erase(found);
    mark_dirty(budget);
}

tokens router_ledger::free_tokens_of(const budget_state& budget)
{
    return budget.granted - budget.held - budget.unsettled;
}

tokens router_ledger::tokens_waiting_before(const budget_state& budget,
                                            std::uint64_t key)
{
    tokens sum = 0;
    for (const waiting_request& need : budget.waiting)
    {
        if (need.key == key)
        {
            break;
        }
        sum += need.bound;
    }
    return sum;
}

bool router_ledger::is_exhausted(const budget_state& budget, tokens bound,
                                 ports::steady_time since)
{
    if (!budget.snapshot.has_value() || budget.snapshot_at < since)
    {
        return false;
    }
    // Tokens reserved by open holds count as reachable, at this and at other
    // routers, because holds may settle for less than their bounds.
    const tokens reachable = budget.snapshot->pool +
                             budget.snapshot->outstanding_of_others +
                             budget.granted - budget.unsettled;
    return reachable < bound;
}

bool router_ledger::is_expired(const budget_state& budget,
                               ledger_time now) const
{
    auto shard = m_shards.find(budget.shard);
    return budget.granted > 0 && (shard == m_shards.end() ||
                                  now.steady >= shard->second.spendable_until);
}

void router_ledger::mark_dirty(budget_state& budget)
{
    budget.is_dirty = true;
    m_shards[budget.shard].is_dirty = true;
}

bool router_ledger::is_fenced() const
{
    return m_is_fenced;
}

std::int32_t router_ledger::shard_for(const std::string& account) const
{
    return shard_of(account, m_settings.shard_count);
}

ledger_counts router_ledger::counts() const
{
    ledger_counts counts;
    counts.holds = m_holds.size();
    counts.waiting = m_waiting_requests;
    counts.pending_bills = m_pending_bills;
    counts.budgets = m_budgets.size();
    counts.is_fenced = m_is_fenced;
    for (const auto& [name, budget] : m_budgets)
    {
        counts.granted += budget.granted;
        counts.held += budget.held;
        counts.unsettled += budget.unsettled;
    }
    return counts;
}

} // namespace turmeric::domain
