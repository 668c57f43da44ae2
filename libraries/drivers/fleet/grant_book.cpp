#include "libraries/drivers/fleet/grant_book.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::drivers
{

namespace
{

/// Accounts in one change; the store takes 32 entries.
constexpr std::size_t most_accounts_in_change = 15;
/// With more accounts, grants are asked for when a request comes.
constexpr std::size_t most_accounts_ahead = 64;

} // namespace

grant_book::grant_book(const ports::clock& clock, std::string incarnation)
    : m_clock(clock)
    , m_incarnation(std::move(incarnation))
{
}

void grant_book::set_prepaid(std::map<std::string, std::int64_t> prepaid)
{
    m_prepaid = std::move(prepaid);
}

bool grant_book::has_prepaid() const
{
    return !m_prepaid.empty();
}

void grant_book::set_members(std::set<std::string> members)
{
    m_members = std::move(members);
}

void grant_book::take(const std::string& account, ports::revision revision,
                      domain::prepaid_record record)
{
    account_state& known = m_accounts[account];
    known.revision = revision;
    known.record = std::move(record);
    const auto own = known.record.granted_to.find(m_incarnation);
    if (own != known.record.granted_to.end())
    {
        set_own(known, own->second);
        known.doubtful = 0;
        return;
    }
    // Another router has dropped this one's entry, so nothing tells whether
    // the return was made. Made twice it would free tokens that are spent.
    known.unreturned = std::max<std::int64_t>(
        0, known.unreturned - std::exchange(known.doubtful, 0));
}

void grant_book::set_own(account_state& known, std::int64_t granted)
{
    // Only what this router gave back lowers its own entry.
    const std::int64_t taken =
        std::max<std::int64_t>(0, known.own_granted - granted);
    known.returned += taken;
    known.unreturned = std::max<std::int64_t>(0, known.unreturned - taken);
    known.own_granted = granted;
}

void grant_book::note_uses(
    const std::map<std::string, account_token_demand>& needs)
{
    for (const auto& [name, need] : needs)
    {
        account_state& known = m_accounts[name];
        known.rate.add(need.used - known.last_used, m_clock.steady_now());
        known.last_used = need.used;
    }
}

double grant_book::rate_of(const account_state& known) const
{
    constexpr double seconds_per_minute = 60.0;
    return static_cast<double>(known.rate.per_minute(m_clock.steady_now())) /
           seconds_per_minute;
}

domain::grant_demand
grant_book::demand_of(const account_state& known,
                      const account_token_demand& need) const
{
    domain::grant_demand demand;
    demand.granted_in_all = known.record.granted_in_all;
    demand.routers = static_cast<std::int64_t>(m_members.size());
    demand.free = need.free;
    demand.peers_free = need.peers_free;
    demand.peers_tokens_per_second =
        static_cast<double>(need.peers_tokens_per_second);
    demand.tokens_per_second = rate_of(known);
    demand.typical_hold = need.typical_hold;
    demand.lacking = need.lacking;
    return demand;
}

std::vector<planned_grant>
grant_book::plan(const std::map<std::string, account_token_demand>& needs,
                 bool is_leaving, std::map<std::string, std::int64_t>& surplus)
{
    std::vector<planned_grant> changes = plan_returns();
    const bool is_ahead = m_prepaid.size() <= most_accounts_ahead;
    for (const auto& [name, total] : m_prepaid)
    {
        const auto found = needs.find(name);
        const account_state& known = m_accounts[name];
        if (known.unreturned > 0 || (!is_ahead && found == needs.end()))
        {
            continue;
        }
        domain::grant_demand demand =
            demand_of(known, found == needs.end() ? account_token_demand{}
                                                  : found->second);
        demand.prepaid_tokens = total;
        demand.is_leaving = is_leaving;
        const std::int64_t tokens = domain::compute_grant_change(demand);
        if (tokens > 0 && changes.size() < most_accounts_in_change)
        {
            changes.push_back({name, tokens});
        }
        if (tokens < 0)
        {
            surplus[name] = -tokens;
        }
    }
    return changes;
}

std::vector<planned_grant> grant_book::plan_returns() const
{
    std::vector<planned_grant> changes;
    for (const auto& [name, known] : m_accounts)
    {
        if (known.unreturned > 0 && changes.size() < most_accounts_in_change)
        {
            changes.push_back({name, -known.unreturned});
        }
    }
    return changes;
}

planned_record grant_book::apply(const planned_grant& planned)
{
    const account_state& known = m_accounts[planned.account];
    return {known.revision, domain::apply_grant_change(
                                known.record, m_incarnation, known.own_granted,
                                planned.tokens, m_members)};
}

known_grants grant_book::note_made(const planned_grant& planned,
                                   ports::revision at)
{
    account_state& known = m_accounts[planned.account];
    known.record = apply(planned).record;
    known.revision = at;
    set_own(known, known.own_granted + planned.tokens);
    return summary_of(known);
}

void grant_book::note_doubt(const std::vector<planned_grant>& planned)
{
    for (const planned_grant& one : planned)
    {
        if (one.tokens < 0)
        {
            m_accounts[one.account].doubtful = -one.tokens;
        }
    }
}

void grant_book::put_back(const std::string& account, std::int64_t tokens)
{
    m_accounts[account].unreturned += tokens;
}

bool grant_book::has_left(const std::string& account, std::int64_t tokens) const
{
    const auto total = m_prepaid.find(account);
    const auto known = m_accounts.find(account);
    return total != m_prepaid.end() && known != m_accounts.end() &&
           total->second - known->second.record.granted_in_all >= tokens;
}

known_grants grant_book::summary_of(const account_state& known) const
{
    return {known.own_granted + known.returned, known.record.granted_in_all,
            rate_of(known)};
}

std::map<std::string, known_grants> grant_book::known() const
{
    std::map<std::string, known_grants> all;
    for (const auto& [name, account] : m_accounts)
    {
        all[name] = summary_of(account);
    }
    return all;
}

} // namespace turmeric::drivers
