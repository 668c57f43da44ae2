#include "libraries/drivers/fleet/grant_planner.hpp"

#include "libraries/domain/prepaid/account_holders.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::drivers
{

namespace
{

/// The store accepts 32 entries in one change. An account takes a condition, a
/// write, and in a new era the deletion of its earlier record. Two entries are
/// for the names of the witnesses.
constexpr std::size_t max_accounts_per_change = 15;
constexpr std::size_t max_accounts_per_first_change = 10;
/// With more accounts than this, tokens of an account are requested only when
/// a caller's request needs them.
constexpr std::size_t max_accounts_with_advance_grants = 64;

} // namespace

grant_planner::grant_planner(const ports::clock& clock, std::string incarnation,
                             std::string vm)
    : m_clock(clock)
    , m_incarnation(std::move(incarnation))
    , m_limits(m_incarnation)
    , m_predecessors(m_incarnation, std::move(vm))
{
}

domain::spending_limits& grant_planner::limits()
{
    return m_limits;
}

domain::predecessor_grants& grant_planner::predecessors()
{
    return m_predecessors;
}

void grant_planner::set_prepaid_totals(
    std::map<std::string, std::int64_t> prepaid)
{
    m_prepaid_totals = std::move(prepaid);
}

bool grant_planner::has_prepaid_totals() const
{
    return !m_prepaid_totals.empty();
}

void grant_planner::set_members(std::set<std::string> members)
{
    m_members = std::move(members);
}

void grant_planner::begin_era(ports::store_era era)
{
    m_era = era;
    m_are_new_records_allowed = false;
    for (auto& [name, state] : m_accounts)
    {
        state.revision = 0;
        state.is_record_current = false;
        state.earlier_eras.clear();
        state.ceiling_version = -1;
        drop_uncertain_return(state);
    }
    m_limits.begin_era();
    m_predecessors.begin_era();
}

void grant_planner::begin_update()
{
    for (auto& [name, state] : m_accounts)
    {
        state.earlier_eras.clear();
    }
    m_totals.add_known_era(m_era);
}

ports::store_era grant_planner::era() const
{
    return m_era;
}

void grant_planner::allow_new_records(bool is_allowed)
{
    m_are_new_records_allowed = is_allowed;
}

domain::granted_totals& grant_planner::totals()
{
    return m_totals;
}

bool grant_planner::can_change(const std::string& account,
                               const account_state& state) const
{
    return (state.is_record_current || m_are_new_records_allowed) &&
           m_limits.can_bind(account);
}

void grant_planner::update_record(const prepaid_record_key& key,
                                  ports::revision revision,
                                  domain::prepaid_record record)
{
    m_totals.merge(key.account, domain::total_of(key.era, record));
    account_state& state = m_accounts[key.account];
    if (key.era != m_era)
    {
        state.earlier_eras.insert(key.era);
        if (!state.is_record_current && record.version > state.record.version)
        {
            state.record = std::move(record);
        }
        return;
    }
    state.revision = revision;
    state.record = std::move(record);
    note_ceiling(state);
    set_record_current(state);
    const auto own = state.record.granted_to.find(m_incarnation);
    if (own != state.record.granted_to.end())
    {
        set_own_granted(state, own->second);
        state.uncertain_return = 0;
        return;
    }
    // Another router has dropped this router's entry, so the record does not
    // show whether the return took effect. Repeating it could return tokens
    // twice and so free tokens that are spent.
    drop_uncertain_return(state);
}

void grant_planner::set_record_current(account_state& state)
{
    if (state.is_record_current)
    {
        return;
    }
    state.is_record_current = true;
    state.uncounted +=
        state.history.take_uncounted(state.record, m_era, state.own_granted);
}

void grant_planner::drop_uncertain_return(account_state& state)
{
    state.pending_return = std::max<std::int64_t>(
        0, state.pending_return - std::exchange(state.uncertain_return, 0));
}

void grant_planner::set_own_granted(account_state& state, std::int64_t granted)
{
    // Only this router's own returns decrease its entry.
    const std::int64_t newly_returned =
        std::max<std::int64_t>(0, state.own_granted - granted);
    state.returned += newly_returned;
    state.pending_return =
        std::max<std::int64_t>(0, state.pending_return - newly_returned);
    state.own_granted = granted;
}

void grant_planner::record_usage(
    const std::map<std::string, account_token_demand>& token_demands)
{
    for (const auto& [name, token_demand] : token_demands)
    {
        account_state& state = m_accounts[name];
        const std::int64_t drawn = token_demand.used + token_demand.lent;
        state.rate.add(drawn - state.last_drawn, m_clock.steady_now());
        state.last_drawn = drawn;
        state.peers_tokens_per_second =
            static_cast<double>(token_demand.peers_tokens_per_second);
        const bool is_consumed =
            tokens_per_second_of(state) + state.peers_tokens_per_second > 0;
        if (!is_consumed)
        {
            state.consumed_since.reset();
        }
        else if (!state.consumed_since)
        {
            state.consumed_since = m_clock.steady_now();
        }
    }
}

double grant_planner::tokens_per_second_of(const account_state& state) const
{
    constexpr double seconds_per_minute = 60.0;
    return static_cast<double>(state.rate.per_minute(m_clock.steady_now())) /
           seconds_per_minute;
}

domain::grant_demand
grant_planner::demand_of(const std::string& account, const account_state& state,
                         const account_token_demand& token_demand) const
{
    domain::grant_demand demand;
    demand.granted_in_all = granted_in_all(account, state);
    demand.holders = static_cast<std::int64_t>(
        std::min(m_members.size(), domain::max_account_holders));
    demand.is_holder = token_demand.is_holder;
    demand.can_borrow = token_demand.can_borrow;
    demand.free = token_demand.free;
    demand.peers_free = token_demand.peers_free;
    demand.peers_tokens_per_second =
        static_cast<double>(token_demand.peers_tokens_per_second);
    demand.tokens_per_second = tokens_per_second_of(state);
    demand.typical_hold = token_demand.typical_hold;
    demand.lacking = token_demand.lacking;
    return demand;
}

std::vector<planned_grant> grant_planner::plan_changes(
    const std::map<std::string, account_token_demand>& token_demands,
    bool is_leaving, std::map<std::string, std::int64_t>& surplus)
{
    std::vector<planned_grant> changes = plan_returns();
    const bool has_advance_grants =
        m_prepaid_totals.size() <= max_accounts_with_advance_grants;
    for (const auto& [name, total] : m_prepaid_totals)
    {
        const auto found = token_demands.find(name);
        const account_state& state = m_accounts[name];
        const bool is_idle =
            !has_advance_grants && found == token_demands.end();
        const bool is_closing = is_closing_due(name, state);
        if (state.pending_return > 0 || state.uncounted > 0 ||
            !can_change(name, state) || (is_idle && !is_closing))
        {
            continue;
        }
        domain::grant_demand demand =
            demand_of(name, state,
                      found == token_demands.end() ? account_token_demand{}
                                                   : found->second);
        demand.prepaid_tokens = total;
        demand.is_leaving = is_leaving;
        const std::int64_t wanted = domain::compute_grant_change(demand);
        const std::int64_t tokens = std::min(
            wanted, domain::tokens_below(ceiling_of(name, state),
                                         demand.granted_in_all, total));
        // Without room below the ceiling, a change only raises the ceiling.
        const bool is_raise_due = wanted > 0 && tokens == 0 &&
                                  state.is_record_current &&
                                  is_next_ceiling_due(state);
        // What a top-up adds later is usable only if the reserve is recorded.
        const bool is_reserve_due =
            tokens == 0 && first_reserve(name, state) > 0;
        if ((tokens > 0 || is_raise_due || is_reserve_due || is_closing) &&
            changes.size() < max_changes())
        {
            changes.push_back({name, std::max<std::int64_t>(0, tokens), 0, {}});
        }
        if (tokens < 0)
        {
            surplus[name] = -tokens;
        }
    }
    return changes;
}

std::size_t grant_planner::max_changes() const
{
    const bool has_earlier_records = std::any_of(
        m_accounts.begin(), m_accounts.end(),
        [](const auto& entry) { return !entry.second.earlier_eras.empty(); });
    return has_earlier_records ? max_accounts_per_first_change
                               : max_accounts_per_change;
}

std::vector<planned_grant> grant_planner::plan_returns() const
{
    std::vector<planned_grant> changes;
    for (const auto& [name, state] : m_accounts)
    {
        const bool has_change = state.pending_return > 0 || state.uncounted > 0;
        if (has_change && can_change(name, state) &&
            changes.size() < max_changes())
        {
            changes.push_back(
                {name, -state.pending_return, state.uncounted, {}});
        }
    }
    return changes;
}

std::int64_t grant_planner::granted_in_all(const std::string& account,
                                           const account_state& state) const
{
    if (state.is_record_current)
    {
        return state.record.granted_in_all + state.uncounted;
    }
    const std::optional<domain::granted_total> total = m_totals.find(account);
    return total ? total->tokens + first_reserve(account, state) : 0;
}

bool grant_planner::may_lack_grants(const account_state& state,
                                    const domain::granted_total& total) const
{
    // A store that names no era is never restored.
    return !state.is_record_current && total.at.era != 0 &&
           total.at.era < m_totals.known_since();
}

std::int64_t grant_planner::first_reserve(const std::string& account,
                                          const account_state& state) const
{
    const std::optional<domain::granted_total> total = m_totals.find(account);
    return total && may_lack_grants(state, *total)
               ? domain::granted_at_most_since(total->ceiling, total->tokens,
                                               prepaid_tokens_of(account)) -
                     total->tokens
               : 0;
}

domain::prepaid_record
grant_planner::base_record(const std::string& account,
                           const account_state& state) const
{
    const std::optional<domain::granted_total> total = m_totals.find(account);
    if (state.is_record_current || !total)
    {
        return state.record;
    }
    domain::prepaid_record record = domain::begin_era_record(*total);
    record.tokens_per_second = state.record.tokens_per_second;
    if (may_lack_grants(state, *total))
    {
        domain::add_reserve(record, prepaid_tokens_of(account));
    }
    return record;
}

planned_record grant_planner::apply(const planned_grant& planned)
{
    const account_state& state = m_accounts[planned.account];
    m_limits.of(planned.account).bind();
    planned_record next;
    next.expected_revision = state.revision;
    domain::prepaid_record record = base_record(planned.account, state);
    next.reserved = first_reserve(planned.account, state);
    record.tokens_per_second = domain::update_fleet_rate(
        record.tokens_per_second,
        tokens_per_second_of(state) + state.peers_tokens_per_second);
    next.record = domain::apply_grant_change(std::move(record), m_incarnation,
                                             state.own_granted, planned.tokens,
                                             m_members);
    next.record.granted_in_all += planned.uncounted;
    next.closed = close_predecessors(planned.account, next.record);
    next.record.ceiling = ceiling_for(planned.account, state, next.record);
    next.earlier_eras = state.earlier_eras;
    return next;
}

domain::grant_ceiling
grant_planner::ceiling_of(const std::string& account,
                          const account_state& state) const
{
    return state.is_record_current ? state.record.ceiling
                                   : base_record(account, state).ceiling;
}

void grant_planner::note_ceiling(account_state& state)
{
    if (state.ceiling_version != state.record.ceiling.next_since_version)
    {
        state.ceiling_version = state.record.ceiling.next_since_version;
        state.ceiling_known_since = m_clock.steady_now();
    }
}

bool grant_planner::is_next_ceiling_due(const account_state& state) const
{
    return state.is_record_current &&
           state.ceiling_version == state.record.ceiling.next_since_version &&
           m_clock.steady_now() - state.ceiling_known_since >=
               domain::covered_copy_age;
}

std::int64_t grant_planner::prepaid_tokens_of(const std::string& account) const
{
    const auto total = m_prepaid_totals.find(account);
    return total == m_prepaid_totals.end() ? 0 : total->second;
}

domain::grant_ceiling
grant_planner::ceiling_for(const std::string& account,
                           const account_state& state,
                           const domain::prepaid_record& record) const
{
    domain::ceiling_change change;
    change.version = record.version;
    change.wanted = domain::choose_ceiling(record.granted_in_all,
                                           prepaid_tokens_of(account),
                                           record.tokens_per_second);
    change.is_next_due = is_next_ceiling_due(state);
    change.may_lower =
        state.consumed_since &&
        m_clock.steady_now() - *state.consumed_since >= domain::min_rate_time;
    return domain::advance_ceiling(record.ceiling, change);
}

grant_summary grant_planner::record_committed(const planned_grant& planned,
                                              ports::revision at)
{
    account_state& state = m_accounts[planned.account];
    state.record = planned.record;
    state.revision = at;
    state.uncounted -= planned.uncounted;
    note_ceiling(state);
    set_record_current(state);
    state.earlier_eras.clear();
    const domain::record_position position{m_era, state.record.version};
    m_totals.merge(planned.account, domain::total_of(m_era, state.record));
    if (m_era != 0)
    {
        state.history.add(position, planned.tokens);
    }
    set_own_granted(state, state.own_granted + planned.tokens);
    return summary_of(planned.account, state);
}

void grant_planner::mark_void(const std::vector<planned_grant>& planned)
{
    mark_uncertain(planned);
    for (const planned_grant& change : planned)
    {
        drop_uncertain_return(m_accounts[change.account]);
    }
}

void grant_planner::mark_uncertain(const std::vector<planned_grant>& planned)
{
    for (const planned_grant& change : planned)
    {
        if (change.tokens < 0)
        {
            m_accounts[change.account].uncertain_return = -change.tokens;
        }
    }
}

void grant_planner::add_pending_return(const std::string& account,
                                       std::int64_t tokens)
{
    m_accounts[account].pending_return += tokens;
}

std::int64_t grant_planner::own_granted(const std::string& account) const
{
    const auto state = m_accounts.find(account);
    return state == m_accounts.end() ? 0 : state->second.own_granted;
}

bool grant_planner::has_remaining_tokens(const std::string& account,
                                         std::int64_t tokens) const
{
    const auto total = m_prepaid_totals.find(account);
    const auto state = m_accounts.find(account);
    return total != m_prepaid_totals.end() && state != m_accounts.end() &&
           can_change(account, state->second) &&
           total->second - granted_in_all(account, state->second) >= tokens;
}

grant_summary grant_planner::summary_of(const std::string& account,
                                        const account_state& state) const
{
    return {state.own_granted + state.returned, granted_in_all(account, state),
            tokens_per_second_of(state)};
}

std::map<std::string, grant_summary> grant_planner::grant_summaries() const
{
    std::map<std::string, grant_summary> all;
    for (const auto& [name, account] : m_accounts)
    {
        all[name] = summary_of(name, account);
    }
    return all;
}

} // namespace turmeric::drivers
