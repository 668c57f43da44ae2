#include "libraries/drivers/fleet/token_control.hpp"

#include "libraries/domain/digest.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::drivers
{

namespace
{

/// How many holders of an account a router asks for a loan, one after the
/// other. More of them rarely have what the first ones lack.
constexpr std::size_t max_lenders = 3;
/// Time in which routers that start together register.
constexpr std::chrono::milliseconds membership_settling_time{500};
} // namespace

token_control::token_control(const token_control_dependencies& dependencies,
                             const peer_table& peers, const fleet_member& self,
                             std::function<bool()> is_store_unavailable)
    : m_dependencies(dependencies)
    , m_peers(peers)
    , m_self(self.incarnation)
    , m_is_store_unavailable(std::move(is_store_unavailable))
    , m_grant_client(m_dependencies.store, m_dependencies.clock,
                     m_dependencies.log, m_self, self.vm)
    , m_exchange(m_grant_client.totals(), m_dependencies.store.eras(),
                 m_dependencies.peers, m_peers, m_dependencies.clock,
                 m_dependencies.log, m_self, [this] { m_grant_client.fence(); })
    , m_spending(
          m_grant_client.limits(), m_dependencies.peers, m_peers,
          m_dependencies.clock, self, [this] { raise_limits(); },
          [this](const std::string& witness, const codecs::spending_row& row)
          {
              m_grant_client.add_report(witness, row.incarnation, row.account,
                                        row.report);
          })
    , m_borrower(m_dependencies.peers, m_peers, m_dependencies.clock,
                 m_dependencies.log, m_self)
    , m_lender(
          m_dependencies.peers, m_dependencies.clock, m_dependencies.timers,
          m_self,
          [this](const std::string& account, std::int64_t requested,
                 bool is_borrower, std::function<void(std::int64_t)> done)
          {
              const auto take =
                  is_borrower ? &traffic_link::lend : &traffic_link::pass_on;
              (m_dependencies.traffic.*take)(account, requested,
                                             std::move(done));
          },
          [this] { adjust(); })
{
}

token_control::~token_control() = default;

void token_control::start(std::function<void()> changed)
{
    m_changed = std::move(changed);
    m_grant_client.on_change(
        [this]
        {
            m_changed();
            m_lender.continue_loans();
        });
    m_grant_client.on_applied([this](const std::vector<std::string>& accounts)
                              { m_exchange.announce(accounts); });
    m_grant_client.set_members({m_self});
    update_holders();
}

void token_control::set_members(std::set<std::string> incarnations)
{
    m_members_read_at =
        m_members_read_at.value_or(m_dependencies.clock.steady_now());
    update_holders();
    m_grant_client.set_members(std::move(incarnations));
}

void token_control::set_accounts(
    const std::vector<domain::caller_account>& accounts)
{
    std::map<std::string, std::int64_t> totals;
    m_accounts.clear();
    for (const domain::caller_account& account : accounts)
    {
        if (account.prepaid_tokens)
        {
            totals[account.name] = *account.prepaid_tokens;
            m_accounts.insert(account.name);
        }
    }
    m_grant_client.set_prepaid_totals(std::move(totals));
    adjust();
}

void token_control::set_leaving()
{
    m_is_leaving = true;
}

void token_control::adjust()
{
    m_dependencies.traffic.request_digest([this](const traffic_digest& traffic)
                                          { adjust(traffic); });
}

std::optional<ports::steady_time> token_control::unavailable_since() const
{
    return m_grant_client.unavailable_since();
}

double token_control::tokens_per_second(
    const std::map<std::string, grant_summary>& summaries,
    const std::string& account)
{
    const auto grants = summaries.find(account);
    // What other routers borrow counts as the consumption of the lender.
    const bool has_rate =
        grants != summaries.end() && m_holders.is_holder(account, m_self);
    return has_rate ? grants->second.tokens_per_second : 0;
}

std::map<std::string, codecs::peer_account_tokens>
token_control::report(const traffic_digest& traffic)
{
    const std::map<std::string, grant_summary> summaries =
        m_grant_client.grant_summaries();
    std::map<std::string, codecs::peer_account_tokens> reported;
    for (const auto& [name, demand] : traffic.accounts)
    {
        reported[name] = {
            demand.used, demand.held, demand.free,
            static_cast<std::int64_t>(tokens_per_second(summaries, name))};
    }
    return reported;
}

void token_control::add_accounts(fleet_view& view)
{
    for (const std::string& account : m_accounts)
    {
        view.accounts[account].is_holder = m_holders.is_holder(account, m_self);
    }
    for (const auto& [name, grants] : current_grant_summaries())
    {
        account_token_state& account = view.accounts[name];
        account.own_granted = grants.cumulative_granted;
        account.granted_in_all = grants.granted_in_all;
        account.spending_limit =
            m_grant_client.limits().update(name, grants.cumulative_granted);
        m_spending_limits[name] = account.spending_limit;
    }
}

std::map<std::string, grant_summary>
token_control::current_grant_summaries() const
{
    std::map<std::string, grant_summary> summaries =
        m_grant_client.grant_summaries();
    for (const auto& [name, tokens] : m_borrower.borrowed())
    {
        summaries[name].cumulative_granted += tokens;
    }
    return summaries;
}

void token_control::update_holders()
{
    std::set<std::string> routers =
        m_peers.live_peers(m_dependencies.clock.steady_now());
    routers.insert(m_self);
    m_holders.set_routers(routers);
}

std::vector<std::string> token_control::list_lenders(const std::string& account)
{
    // Each router prefers another holder, so that the loans of an account are
    // spread over its holders.
    std::vector<std::string> lenders = m_holders.list(account);
    const std::size_t first = domain::digest_of(m_self) % lenders.size();
    std::rotate(lenders.begin(),
                lenders.begin() + static_cast<std::ptrdiff_t>(first),
                lenders.end());
    lenders.resize(std::min(max_lenders, lenders.size()));
    return lenders;
}

std::map<std::string, account_token_demand>
token_control::current_token_demands(const traffic_digest& traffic)
{
    std::map<std::string, account_token_demand> token_demands =
        traffic.accounts;
    for (const std::string& account : m_accounts)
    {
        token_demands.try_emplace(account);
    }
    const fleet_view view = m_peers.view(m_dependencies.clock.steady_now());
    const std::map<std::string, grant_summary> summaries =
        current_grant_summaries();
    for (auto& [name, token_demand] : token_demands)
    {
        const auto granted = summaries.find(name);
        if (granted != summaries.end())
        {
            // The traffic thread has not received the latest grants yet.
            token_demand.free +=
                granted->second.cumulative_granted - token_demand.granted;
            token_demand.granted = granted->second.cumulative_granted;
        }
        complete_demand(name, view, token_demand);
    }
    return token_demands;
}

void token_control::complete_demand(const std::string& account,
                                    const fleet_view& view,
                                    account_token_demand& demand)
{
    const auto peers = view.accounts.find(account);
    if (peers != view.accounts.end())
    {
        demand.peers_free = peers->second.peers_free;
        demand.peers_tokens_per_second = peers->second.peers_tokens_per_second;
    }
    const auto lent = m_lender.lent().find(account);
    demand.lent = lent == m_lender.lent().end() ? 0 : lent->second;
    // Waiting loans may lack only the confirmation of witnesses.
    const std::int64_t unneeded =
        std::max<std::int64_t>(0, demand.free - demand.waiting);
    demand.lacking +=
        std::max<std::int64_t>(0, m_lender.lacking(account) - unneeded);
    demand.is_holder = m_holders.is_holder(account, m_self);
    demand.can_borrow = !demand.is_holder &&
                        m_borrower.is_any_responsive(list_lenders(account));
}

void token_control::adjust(const traffic_digest& traffic)
{
    if (!is_membership_settled())
    {
        return;
    }
    m_exchange.collect();
    m_grant_client.allow_new_records(m_exchange.is_complete());
    const std::map<std::string, account_token_demand> token_demands =
        current_token_demands(traffic);
    for (const auto& [account, token_demand] : token_demands)
    {
        m_free_tokens[account] = token_demand.free;
    }
    update_spending(token_demands);
    for (const auto& [account, tokens] :
         m_grant_client.adjust_grants(token_demands, m_is_leaving))
    {
        release_to_store(account, tokens, [] {});
    }
    borrow_lacking(token_demands);
}

bool token_control::is_membership_settled() const
{
    if (!m_members_read_at)
    {
        return false;
    }
    const ports::steady_time now = m_dependencies.clock.steady_now();
    // While many routers start at once, the first ones would take themselves
    // for the holders of all accounts.
    return m_peers.live_peers(now).size() < domain::max_account_holders ||
           now - *m_members_read_at >= membership_settling_time;
}

void token_control::borrow_lacking(
    const std::map<std::string, account_token_demand>& token_demands)
{
    bool has_requested = false;
    for (const auto& [account, token_demand] : token_demands)
    {
        // What loans to others lack is for the store to grant.
        const std::int64_t lacking =
            token_demand.lacking -
            std::min(token_demand.lacking, m_lender.lacking(account));
        if (lacking <= 0)
        {
            continue;
        }
        const std::string lender =
            token_demand.is_holder
                ? m_peers.find_lender(account,
                                      m_dependencies.clock.steady_now())
                : m_borrower.select_lender(account, list_lenders(account));
        if (lender.empty() && token_demand.can_borrow)
        {
            m_dependencies.traffic.refuse_pending_holds(account);
            continue;
        }
        m_borrower.borrow(account, lacking, lender);
        has_requested = true;
    }
    if (has_requested)
    {
        m_loan_timer =
            m_dependencies.timers.schedule(m_dependencies.clock.steady_now() +
                                               token_borrower::response_timeout,
                                           [this] { adjust(); });
    }
}

void token_control::handle_message(const codecs::token_message& message)
{
    if (message.kind == codecs::token_message_kind::request)
    {
        lend(message);
        return;
    }
    if (m_borrower.accept_loan(message))
    {
        m_changed();
    }
    if (!m_holders.is_holder(message.account, m_self))
    {
        adjust();
    }
}

void token_control::handle_totals(const codecs::granted_totals_message& message)
{
    m_exchange.handle(message);
}

void token_control::lend(const codecs::token_message& request)
{
    const std::optional<std::string> address =
        m_peers.address_of(request.sender);
    if (!address)
    {
        return;
    }
    loan_request loan{request, *address};
    loan.is_borrower = !m_holders.is_holder(request.account, request.sender);
    loan.may_wait = loan.is_borrower && !m_is_store_unavailable();
    if (!loan.is_borrower)
    {
        // Another holder can obtain grants itself.
        loan.message.tokens =
            std::min(request.tokens, m_free_tokens[request.account] / 2);
    }
    m_lender.lend(std::move(loan));
}

void token_control::release_to_store(const std::string& account,
                                     std::int64_t tokens,
                                     std::function<void()> then)
{
    m_dependencies.traffic.release(
        account, tokens,
        [this, account, then = std::move(then)](std::int64_t released)
        {
            m_grant_client.add_pending_return(account, released);
            then();
        });
}

void token_control::return_tokens(std::function<void()> done)
{
    m_dependencies.traffic.request_digest(
        [this, done = std::move(done)](const traffic_digest& traffic)
        {
            const std::shared_ptr<std::size_t> remaining =
                std::make_shared<std::size_t>(traffic.accounts.size() + 1);
            const auto on_released = [this, remaining, done]
            {
                --*remaining;
                if (*remaining == 0)
                {
                    m_grant_client.return_tokens(done);
                }
            };
            for (const auto& [account, token_demand] : traffic.accounts)
            {
                release_to_store(account, token_demand.free, on_released);
            }
            on_released();
        });
}

} // namespace turmeric::drivers
