#include "libraries/drivers/fleet/fleet_control.hpp"

#include "libraries/domain/digest.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::drivers
{

namespace
{

/// The interval between digests. Each router sends its digest to all others,
/// so the interval grows with the number of routers to limit the messages.
constexpr std::chrono::milliseconds min_tick_interval{200};
constexpr std::chrono::milliseconds tick_interval_per_router{10};
constexpr std::chrono::milliseconds watch_wait{2'200};
/// How many holders of an account a router asks for a loan, one after the
/// other. More of them rarely have what the first ones lack.
constexpr std::size_t max_lenders = 3;
/// Time in which routers that start together register.
constexpr std::chrono::milliseconds membership_settling_time{500};
/// An upstream that is running registers again within two seconds of the end
/// of a store outage in which its entry expired.
constexpr std::chrono::milliseconds upstream_deletion_grace{2'100};

} // namespace

fleet_control::fleet_control(fleet_control_dependencies dependencies,
                             const document_formats& formats, fleet_member self)
    : m_dependencies(std::move(dependencies))
    , m_formats(formats)
    , m_self(std::move(self))
    , m_configuration(m_dependencies.store, m_dependencies.timers,
                      m_dependencies.clock, m_dependencies.log,
                      {m_formats.configuration_key, watch_wait,
                       std::chrono::milliseconds(0)})
    , m_upstreams(
          m_dependencies.store, m_dependencies.timers, m_dependencies.clock,
          m_dependencies.log,
          {m_formats.upstream_prefix, watch_wait, upstream_deletion_grace})
    , m_registry(m_dependencies.store, m_dependencies.timers,
                 m_dependencies.clock, m_dependencies.log, m_self)
    , m_grant_client(m_dependencies.store, m_dependencies.clock,
                     m_dependencies.log, m_self.incarnation)
    , m_peers(m_self)
    , m_borrower(m_dependencies.peers, m_peers, m_dependencies.clock,
                 m_dependencies.log, m_self.incarnation)
    , m_lender(
          m_dependencies.peers, m_dependencies.clock, m_dependencies.timers,
          m_self.incarnation,
          [this](const std::string& account, std::int64_t requested,
                 bool is_borrower, std::function<void(std::int64_t)> done)
          {
              const auto take =
                  is_borrower ? &traffic_link::lend : &traffic_link::release;
              (m_dependencies.traffic.*take)(account, requested,
                                             std::move(done));
          },
          [this] { adjust_token_grants(); })
{
}

fleet_control::~fleet_control() = default;

void fleet_control::start()
{
    m_configuration.start([this](const followed_items& items)
                          { on_configuration(items); });
    m_upstreams.start([this](const followed_items& items)
                      { on_upstreams(items); });
    m_registry.start([this](const std::vector<fleet_member>& members)
                     { on_members(members); });
    m_grant_client.on_change(
        [this]
        {
            update_traffic();
            m_lender.continue_loans();
        });
    m_peers.set_members({m_self}, m_dependencies.clock.steady_now());
    update_holders();
    m_grant_client.set_members({m_self.incarnation});
    m_dependencies.peers.receive([this](std::string_view bytes)
                                 { on_datagram(bytes); });
    tick();
}

void fleet_control::tick()
{
    m_dependencies.traffic.request_digest([this](const traffic_digest& traffic)
                                          { on_traffic_digest(traffic); });
    const std::chrono::milliseconds interval =
        std::max(min_tick_interval,
                 tick_interval_per_router *
                     m_peers.count_routers(m_dependencies.clock.steady_now()));
    m_timer = m_dependencies.timers.schedule(
        m_dependencies.clock.steady_now() + interval, [this] { tick(); });
}

void fleet_control::on_traffic_digest(const traffic_digest& traffic)
{
    update_holders();
    codecs::peer_digest digest;
    digest.incarnation = m_self.incarnation;
    digest.sequence = ++m_sequence;
    digest.configuration_version =
        m_routes == nullptr ? 0 : m_routes->version();
    digest.is_leaving = m_is_leaving;
    digest.is_store_unavailable = store_unavailable_since().has_value();
    digest.load = traffic.load;
    const std::map<std::string, grant_summary> summaries =
        m_grant_client.grant_summaries();
    for (const auto& [name, token_demand] : traffic.accounts)
    {
        const auto grants = summaries.find(name);
        // What other routers borrow counts as the consumption of the lender.
        const bool has_rate = grants != summaries.end() &&
                              m_holders.is_holder(name, m_self.incarnation);
        const double rate = has_rate ? grants->second.tokens_per_second : 0;
        digest.accounts[name] = {token_demand.used, token_demand.held,
                                 token_demand.free,
                                 static_cast<std::int64_t>(rate)};
    }
    const std::string bytes = codecs::write_digest(digest);
    for (const std::string& address : m_peers.peer_addresses())
    {
        m_dependencies.peers.send(address, bytes);
    }
    adjust_grants(traffic);
    request_configuration_from_peer();
    update_traffic();
}

void fleet_control::adjust_token_grants()
{
    m_dependencies.traffic.request_digest([this](const traffic_digest& traffic)
                                          { adjust_grants(traffic); });
}

std::map<std::string, grant_summary>
fleet_control::current_grant_summaries() const
{
    std::map<std::string, grant_summary> summaries =
        m_grant_client.grant_summaries();
    for (const auto& [name, tokens] : m_borrower.borrowed())
    {
        summaries[name].cumulative_granted += tokens;
    }
    return summaries;
}

void fleet_control::update_holders()
{
    std::set<std::string> routers =
        m_peers.live_peers(m_dependencies.clock.steady_now());
    routers.insert(m_self.incarnation);
    m_holders.set_routers(routers);
}

std::vector<std::string> fleet_control::list_lenders(const std::string& account)
{
    // Each router prefers another holder, so that the loans of an account are
    // spread over its holders.
    std::vector<std::string> lenders = m_holders.list(account);
    const std::size_t first =
        domain::digest_of(m_self.incarnation) % lenders.size();
    std::rotate(lenders.begin(),
                lenders.begin() + static_cast<std::ptrdiff_t>(first),
                lenders.end());
    lenders.resize(std::min(max_lenders, lenders.size()));
    return lenders;
}

std::map<std::string, account_token_demand>
fleet_control::current_token_demands(const traffic_digest& traffic)
{
    std::map<std::string, account_token_demand> token_demands =
        traffic.accounts;
    if (m_routes != nullptr)
    {
        for (const domain::caller_account& account : m_routes->accounts())
        {
            token_demands.try_emplace(account.name);
        }
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

void fleet_control::complete_demand(const std::string& account,
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
    demand.lacking += m_lender.lacking(account);
    demand.is_holder = m_holders.is_holder(account, m_self.incarnation);
    demand.can_borrow = !demand.is_holder &&
                        m_borrower.is_any_responsive(list_lenders(account));
}

void fleet_control::adjust_grants(const traffic_digest& traffic)
{
    if (!is_membership_settled())
    {
        return;
    }
    const std::map<std::string, account_token_demand> token_demands =
        current_token_demands(traffic);
    for (const auto& [account, token_demand] : token_demands)
    {
        m_free_tokens[account] = token_demand.free;
    }
    for (const auto& [account, tokens] :
         m_grant_client.adjust_grants(token_demands, m_is_leaving))
    {
        release_to_store(account, tokens, [] {});
    }
    borrow_lacking(token_demands);
}

bool fleet_control::is_membership_settled() const
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

void fleet_control::borrow_lacking(
    const std::map<std::string, account_token_demand>& token_demands)
{
    bool has_requested = false;
    for (const auto& [account, token_demand] : token_demands)
    {
        // What loans to others lack is for the store to grant.
        const std::int64_t lacking =
            token_demand.lacking - m_lender.lacking(account);
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
                                           [this] { adjust_token_grants(); });
    }
}

void fleet_control::on_datagram(std::string_view bytes)
{
    result<codecs::peer_digest> digest = codecs::read_digest(bytes);
    if (digest)
    {
        m_peers.apply_digest(std::move(digest.value()),
                             m_dependencies.clock.steady_now());
        return;
    }
    const result<codecs::token_message> message =
        codecs::read_token_message(bytes);
    if (message)
    {
        on_token_message(message.value());
    }
}

void fleet_control::on_token_message(const codecs::token_message& message)
{
    if (message.kind == codecs::token_message_kind::request)
    {
        lend(message);
        return;
    }
    if (m_borrower.accept_loan(message))
    {
        update_traffic();
    }
    if (!m_holders.is_holder(message.account, m_self.incarnation))
    {
        adjust_token_grants();
    }
}

void fleet_control::lend(const codecs::token_message& request)
{
    const std::optional<std::string> address =
        m_peers.address_of(request.sender);
    if (!address)
    {
        return;
    }
    loan_request loan{request, *address};
    loan.is_borrower = !m_holders.is_holder(request.account, request.sender);
    loan.may_wait = loan.is_borrower && !store_unavailable_since();
    if (!loan.is_borrower)
    {
        // Another holder can obtain grants itself.
        loan.message.tokens =
            std::min(request.tokens, m_free_tokens[request.account] / 2);
    }
    m_lender.lend(std::move(loan));
}

void fleet_control::on_configuration(const followed_items& items)
{
    const auto found = items.find(m_formats.configuration_key);
    if (found != items.end())
    {
        apply_configuration(found->second.value, "store");
    }
}

void fleet_control::apply_configuration(const std::string& text,
                                        const char* source)
{
    if (text == m_configuration_text)
    {
        return;
    }
    result<domain::route_declarations> declarations =
        m_formats.read_configuration(text);
    if (!declarations)
    {
        m_dependencies.log.write(log_level::error,
                                 log_event::configuration_rejected,
                                 {{"field", declarations.failure().field},
                                  {"reason", declarations.failure().detail},
                                  {"source", std::string(source)}});
        return;
    }
    if (m_routes != nullptr &&
        declarations.value().version <= m_routes->version())
    {
        return;
    }
    m_configuration_text = text;
    m_routes = std::make_shared<const domain::route_table>(
        std::move(declarations.value()));
    std::map<std::string, std::int64_t> prepaid;
    for (const domain::caller_account& account : m_routes->accounts())
    {
        if (account.prepaid_tokens)
        {
            prepaid[account.name] = *account.prepaid_tokens;
        }
    }
    m_grant_client.set_prepaid_totals(std::move(prepaid));
    m_dependencies.log.write(
        log_level::info, log_event::configuration_in_force,
        {{"version", m_routes->version()}, {"source", std::string(source)}});
    m_dependencies.traffic.set_routes(m_routes);
    adjust_token_grants();
}

void fleet_control::request_configuration_from_peer()
{
    if (m_is_requesting_configuration || !m_configuration.unavailable_since())
    {
        return;
    }
    const std::int64_t version = m_routes == nullptr ? 0 : m_routes->version();
    const std::optional<std::string> peer = m_peers.find_newer_configuration(
        version, m_dependencies.clock.steady_now());
    if (!peer)
    {
        return;
    }
    m_is_requesting_configuration = true;
    m_dependencies.request_peer_configuration(
        *peer,
        [this](const std::string& text)
        {
            m_is_requesting_configuration = false;
            if (!text.empty())
            {
                apply_configuration(text, "peer");
            }
        });
}

void fleet_control::on_upstreams(const followed_items& items)
{
    std::vector<domain::upstream_entry> entries;
    std::int64_t ready = 0;
    for (const auto& [key, item] : items)
    {
        result<domain::upstream_entry> entry =
            m_formats.read_upstream(key, item.value);
        if (!entry)
        {
            m_dependencies.log.write(
                log_level::warning, log_event::document_unreadable,
                {{"key", key},
                 {"field", entry.failure().field},
                 {"revision", item.modification_revision}});
            continue;
        }
        ready += entry.value().state == domain::upstream_state::serving ? 1 : 0;
        entries.push_back(std::move(entry.value()));
    }
    m_dependencies.log.write(
        log_level::info, log_event::upstreams_changed,
        {{"known", static_cast<std::int64_t>(entries.size())},
         {"ready", ready}});
    m_dependencies.traffic.set_upstreams(std::move(entries));
}

void fleet_control::on_members(const std::vector<fleet_member>& members)
{
    std::set<std::string> incarnations;
    for (const fleet_member& member : members)
    {
        incarnations.insert(member.incarnation);
    }
    const ports::steady_time now = m_dependencies.clock.steady_now();
    m_peers.set_members(members, now);
    m_members_read_at = m_members_read_at.value_or(now);
    update_holders();
    m_dependencies.log.write(
        log_level::info, log_event::member_joined,
        {{"members", static_cast<std::int64_t>(incarnations.size())}});
    m_grant_client.set_members(std::move(incarnations));
}

std::optional<ports::steady_time> fleet_control::store_unavailable_since() const
{
    const std::optional<ports::steady_time> since =
        m_grant_client.unavailable_since();
    return since ? since : m_upstreams.unavailable_since();
}

void fleet_control::update_traffic()
{
    fleet_view view = m_peers.view(m_dependencies.clock.steady_now());
    view.store_unavailable_since = store_unavailable_since();
    if (m_routes != nullptr)
    {
        for (const domain::caller_account& account : m_routes->accounts())
        {
            view.accounts[account.name].is_holder =
                m_holders.is_holder(account.name, m_self.incarnation);
        }
    }
    for (const auto& [name, grants] : current_grant_summaries())
    {
        account_token_state& account = view.accounts[name];
        account.own_granted = grants.cumulative_granted;
        account.granted_in_all = grants.granted_in_all;
    }
    m_dependencies.traffic.set_fleet(std::move(view));
}

void fleet_control::leave()
{
    m_is_leaving = true;
    tick();
}

void fleet_control::release_to_store(const std::string& account,
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

void fleet_control::return_tokens(std::function<void()> done)
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
                    m_grant_client.return_tokens(
                        [this, done]
                        {
                            // Other routers drop the entry of a router that
                            // is not registered from the token records, so
                            // the registration ends after the return.
                            m_registry.leave();
                            done();
                        });
                }
            };
            for (const auto& [account, token_demand] : traffic.accounts)
            {
                release_to_store(account, token_demand.free, on_released);
            }
            on_released();
        });
}

bool fleet_control::is_ready() const
{
    return !m_is_leaving && m_routes != nullptr && m_upstreams.has_read();
}

std::vector<std::string>
fleet_control::list_entries(const std::string& data_centre) const
{
    return domain::list_entries(
        m_peers.entry_candidates(m_is_leaving,
                                 m_dependencies.clock.steady_now()),
        data_centre);
}

const std::string& fleet_control::configuration_text() const
{
    return m_configuration_text;
}

} // namespace turmeric::drivers
