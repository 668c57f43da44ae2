#include "libraries/drivers/fleet/token_grant_client.hpp"

#include "libraries/drivers/fleet/token_grant_client_state.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::drivers
{

namespace
{

/// The minimum interval between changes while no request lacks tokens. It
/// batches the changes of several accounts.
constexpr std::chrono::milliseconds change_interval{1'000};
/// The minimum interval while requests wait for tokens or this router leaves.
constexpr std::chrono::milliseconds urgent_interval{100};
/// The store counts as unavailable while a call is pending for longer.
constexpr std::chrono::milliseconds max_response_time{600};

/// Returns whether requests wait for tokens that only the store can provide.
bool is_any_request_waiting(
    const std::map<std::string, account_token_demand>& token_demands)
{
    return std::any_of(token_demands.begin(), token_demands.end(),
                       [](const auto& entry)
                       {
                           const account_token_demand& demand = entry.second;
                           return demand.lacking > 0 &&
                                  (demand.is_holder || !demand.can_borrow);
                       });
}

} // namespace

token_grant_client::token_grant_client(ports::asynchronous_store& store,
                                       const ports::clock& clock, logger& log,
                                       const std::string& incarnation,
                                       std::string vm)
    : m_state(std::make_shared<state>(store, clock, log, incarnation,
                                      std::move(vm)))
{
    const std::weak_ptr<state> weak = m_state;
    store.eras().add_listener(
        [weak](ports::store_era)
        {
            if (const std::shared_ptr<state> self = weak.lock())
            {
                self->follow_era();
            }
        });
}

token_grant_client::~token_grant_client()
{
    m_state->changed = nullptr;
    m_state->applied = nullptr;
}

void token_grant_client::on_change(std::function<void()> changed)
{
    m_state->changed = std::move(changed);
}

void token_grant_client::on_applied(
    std::function<void(const std::vector<std::string>&)> applied)
{
    m_state->applied = std::move(applied);
}

domain::granted_totals& token_grant_client::totals()
{
    return m_state->planner.totals();
}

domain::spending_limits& token_grant_client::limits()
{
    return m_state->planner.limits();
}

void token_grant_client::add_report(const std::string& witness,
                                    const std::string& incarnation,
                                    const std::string& account,
                                    const domain::spending_report& report)
{
    m_state->planner.predecessors().add_report(witness, incarnation, account,
                                               report);
}

std::map<std::string, std::vector<std::pair<std::string, std::string>>>
token_grant_client::list_inquiries() const
{
    std::map<std::string, std::vector<std::pair<std::string, std::string>>>
        inquiries;
    for (const auto& [incarnation, accounts] :
         m_state->planner.list_predecessors())
    {
        for (const std::string& account : accounts)
        {
            for (const std::string& witness :
                 m_state->planner.predecessors().list_to_ask(incarnation,
                                                             account))
            {
                inquiries[witness].emplace_back(incarnation, account);
            }
        }
    }
    return inquiries;
}

void token_grant_client::allow_new_records(bool is_allowed)
{
    m_state->planner.allow_new_records(is_allowed);
    if (is_allowed)
    {
        m_state->restored_at.reset();
    }
}

void token_grant_client::fence()
{
    ++m_state->fence;
    m_state->is_stale = true;
}

void token_grant_client::set_prepaid_totals(
    std::map<std::string, std::int64_t> prepaid)
{
    m_state->planner.set_prepaid_totals(std::move(prepaid));
}

void token_grant_client::set_members(std::set<std::string> members)
{
    m_state->planner.set_members(std::move(members));
}

bool token_grant_client::state::is_too_soon(bool is_urgent) const
{
    const ports::steady_time now = clock.steady_now();
    if (retry_at && now < *retry_at)
    {
        return true;
    }
    const std::chrono::milliseconds interval =
        is_urgent ? urgent_interval : change_interval;
    return !is_stale && last_change_at && now - *last_change_at < interval;
}

std::map<std::string, std::int64_t> token_grant_client::adjust_grants(
    const std::map<std::string, account_token_demand>& token_demands,
    bool is_leaving)
{
    std::map<std::string, std::int64_t> surplus;
    state& self = *m_state;
    self.planner.record_usage(token_demands);
    if (self.is_call_pending || !self.planner.has_prepaid_totals() ||
        self.is_too_soon(is_leaving || is_any_request_waiting(token_demands)))
    {
        return surplus;
    }
    if (!self.is_stale &&
        self.planner.plan_changes(token_demands, is_leaving, surplus).empty() &&
        !self.witnesses.needs_change())
    {
        return surplus;
    }
    self.last_change_at = self.clock.steady_now();
    self.demands = token_demands;
    self.grants_at_start = self.planner.grant_summaries();
    self.is_leaving = is_leaving;
    self.conflicts = 0;
    // Other routers change the same records, and the store refuses a change
    // that is based on an outdated record. The records are therefore read and
    // the changes are planned again.
    const std::shared_ptr<state> shared = m_state;
    self.read_all([shared] { shared->commit_planned_changes(); });
    return surplus;
}

void token_grant_client::add_pending_return(const std::string& account,
                                            std::int64_t tokens)
{
    m_state->planner.add_pending_return(account, tokens);
}

void token_grant_client::return_tokens(std::function<void()> done)
{
    m_state->on_returned = std::move(done);
    m_state->return_all_tokens();
}

bool token_grant_client::can_grant(const std::string& account,
                                   std::int64_t tokens) const
{
    return !m_state->is_stale &&
           m_state->planner.has_remaining_tokens(account, tokens);
}

std::optional<ports::steady_time> token_grant_client::unavailable_since() const
{
    const state& self = *m_state;
    if (self.restored_at)
    {
        return self.restored_at;
    }
    const bool is_overdue =
        self.is_call_pending &&
        self.clock.steady_now() - self.call_started_at > max_response_time;
    if (!self.has_failed && !is_overdue)
    {
        return std::nullopt;
    }
    return self.last_response_at;
}

std::map<std::string, grant_summary> token_grant_client::grant_summaries() const
{
    return m_state->planner.grant_summaries();
}

} // namespace turmeric::drivers
