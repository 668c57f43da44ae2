#include "libraries/drivers/fleet/fleet_control.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::drivers
{

namespace
{

/// How often a router tells its peers; each tells all others, so the pause
/// grows with their number.
constexpr std::chrono::milliseconds least_tick{200};
constexpr std::chrono::milliseconds tick_for_each_router{10};
constexpr std::chrono::milliseconds watch_wait{2'200};
/// An upstream whose entry lapsed with the store is back within two seconds
/// of its return if it lives.
constexpr std::chrono::milliseconds upstream_grace{2'100};

} // namespace

fleet_control::fleet_control(control_parts parts, const document_forms& forms,
                             fleet_member self)
    : m_parts(std::move(parts))
    , m_forms(forms)
    , m_self(std::move(self))
    , m_configuration(
          m_parts.store, m_parts.timers, m_parts.clock, m_parts.log,
          {m_forms.configuration_key, watch_wait, std::chrono::milliseconds(0)})
    , m_upstreams(m_parts.store, m_parts.timers, m_parts.clock, m_parts.log,
                  {m_forms.upstream_prefix, watch_wait, upstream_grace})
    , m_registry(m_parts.store, m_parts.timers, m_parts.clock, m_parts.log,
                 m_self)
    , m_tokens(m_parts.store, m_parts.clock, m_parts.log, m_self.incarnation)
    , m_peers(m_self)
    , m_loans(m_parts.peers, m_peers, m_parts.clock, m_parts.log,
              m_self.incarnation,
              [this](const std::string& account, std::int64_t wanted,
                     std::function<void(std::int64_t)> done)
              {
                  m_parts.traffic.release(account,
                                          std::min(wanted, m_free[account] / 2),
                                          std::move(done));
              })
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
    m_tokens.on_change([this] { tell_traffic(); });
    m_peers.set_members({m_self}, m_parts.clock.steady_now());
    m_tokens.set_members({m_self.incarnation});
    m_parts.peers.receive([this](std::string_view bytes)
                          { on_datagram(bytes); });
    tick();
}

void fleet_control::tick()
{
    m_parts.traffic.ask([this](const traffic_digest& seen)
                        { on_digest(seen); });
    const std::chrono::milliseconds pause =
        std::max(least_tick, tick_for_each_router *
                                 m_peers.routers(m_parts.clock.steady_now()));
    m_timer = m_parts.timers.schedule(m_parts.clock.steady_now() + pause,
                                      [this] { tick(); });
}

void fleet_control::on_digest(const traffic_digest& seen)
{
    codecs::peer_digest digest;
    digest.incarnation = m_self.incarnation;
    digest.sequence = ++m_sequence;
    digest.configuration_version =
        m_routes == nullptr ? 0 : m_routes->version();
    digest.is_leaving = m_is_leaving;
    digest.is_store_silent = store_unavailable_since().has_value();
    digest.load = seen.load;
    const std::map<std::string, known_grants> known = m_tokens.known();
    for (const auto& [name, need] : seen.accounts)
    {
        const auto grants = known.find(name);
        const double rate =
            grants == known.end() ? 0 : grants->second.tokens_per_second;
        digest.accounts[name] = {need.used, need.held, need.free,
                                 static_cast<std::int64_t>(rate)};
    }
    const std::string bytes = codecs::write_digest(digest);
    for (const std::string& address : m_peers.peer_addresses())
    {
        m_parts.peers.send(address, bytes);
    }
    review(seen);
    ask_peers_for_configuration();
    tell_traffic();
}

void fleet_control::review_tokens()
{
    m_parts.traffic.ask([this](const traffic_digest& seen) { review(seen); });
}

std::map<std::string, known_grants> fleet_control::known_grants_now() const
{
    std::map<std::string, known_grants> known = m_tokens.known();
    for (const auto& [name, tokens] : m_loans.borrowed())
    {
        known[name].ever_granted += tokens;
    }
    return known;
}

std::map<std::string, account_token_demand>
fleet_control::current_needs(const traffic_digest& seen) const
{
    std::map<std::string, account_token_demand> needs = seen.accounts;
    const std::map<std::string, known_grants> known = known_grants_now();
    const fleet_view view = m_peers.view(m_parts.clock.steady_now());
    for (auto& [name, need] : needs)
    {
        const auto granted = known.find(name);
        const auto peers = view.accounts.find(name);
        if (granted != known.end())
        {
            // A grant that the traffic thread has not heard of yet.
            need.free += granted->second.ever_granted - need.granted;
            need.granted = granted->second.ever_granted;
        }
        if (peers != view.accounts.end())
        {
            need.peers_free = peers->second.peers_free;
            need.peers_tokens_per_second =
                peers->second.peers_tokens_per_second;
        }
    }
    return needs;
}

void fleet_control::review(const traffic_digest& seen)
{
    const std::map<std::string, account_token_demand> needs =
        current_needs(seen);
    for (const auto& [account, need] : needs)
    {
        m_free[account] = need.free;
    }
    for (const auto& [account, tokens] : m_tokens.review(needs, m_is_leaving))
    {
        put_back(account, tokens, [] {});
    }
    for (const auto& [account, need] : needs)
    {
        const std::int64_t lacking = need.lacking;
        if (lacking > 0)
        {
            m_loans.borrow(account, lacking);
        }
    }
}

void fleet_control::on_datagram(std::string_view bytes)
{
    result<codecs::peer_digest> digest = codecs::read_digest(bytes);
    if (digest)
    {
        m_peers.take(std::move(digest.value()), m_parts.clock.steady_now());
        return;
    }
    const result<codecs::token_message> message =
        codecs::read_token_message(bytes);
    if (message && m_loans.take(message.value()))
    {
        tell_traffic();
    }
}

void fleet_control::on_configuration(const followed_items& items)
{
    const auto found = items.find(m_forms.configuration_key);
    if (found != items.end())
    {
        take_configuration(found->second.value, "store");
    }
}

void fleet_control::take_configuration(const std::string& text,
                                       const char* source)
{
    if (text == m_configuration_text)
    {
        return;
    }
    result<domain::route_declarations> read = m_forms.read_configuration(text);
    if (!read)
    {
        m_parts.log.write(log_level::error, log_event::configuration_rejected,
                          {{"field", read.failure().field},
                           {"reason", read.failure().detail},
                           {"source", std::string(source)}});
        return;
    }
    if (m_routes != nullptr && read.value().version <= m_routes->version())
    {
        return;
    }
    m_configuration_text = text;
    m_routes =
        std::make_shared<const domain::route_table>(std::move(read.value()));
    std::map<std::string, std::int64_t> prepaid;
    for (const domain::caller_account& account : m_routes->accounts())
    {
        if (account.prepaid_tokens)
        {
            prepaid[account.name] = *account.prepaid_tokens;
        }
    }
    m_tokens.set_prepaid(std::move(prepaid));
    m_parts.log.write(
        log_level::info, log_event::configuration_in_force,
        {{"version", m_routes->version()}, {"source", std::string(source)}});
    m_parts.traffic.set_routes(m_routes);
    review_tokens();
}

void fleet_control::ask_peers_for_configuration()
{
    if (m_is_asking_peer || !m_configuration.silent_since())
    {
        return;
    }
    const std::int64_t version = m_routes == nullptr ? 0 : m_routes->version();
    const std::optional<std::string> peer =
        m_peers.find_newer(version, m_parts.clock.steady_now());
    if (!peer)
    {
        return;
    }
    m_is_asking_peer = true;
    m_parts.ask_peer(*peer,
                     [this](const std::string& text)
                     {
                         m_is_asking_peer = false;
                         if (!text.empty())
                         {
                             take_configuration(text, "peer");
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
            m_forms.read_upstream(key, item.value);
        if (!entry)
        {
            m_parts.log.write(log_level::warning,
                              log_event::document_unreadable,
                              {{"key", key},
                               {"field", entry.failure().field},
                               {"revision", item.modified}});
            continue;
        }
        ready += entry.value().state == domain::upstream_state::serving ? 1 : 0;
        entries.push_back(std::move(entry.value()));
    }
    m_parts.log.write(log_level::info, log_event::upstreams_changed,
                      {{"known", static_cast<std::int64_t>(entries.size())},
                       {"ready", ready}});
    m_parts.traffic.set_upstreams(std::move(entries));
}

void fleet_control::on_members(const std::vector<fleet_member>& members)
{
    std::set<std::string> incarnations;
    for (const fleet_member& member : members)
    {
        incarnations.insert(member.incarnation);
    }
    m_peers.set_members(members, m_parts.clock.steady_now());
    m_parts.log.write(
        log_level::info, log_event::member_joined,
        {{"members", static_cast<std::int64_t>(incarnations.size())}});
    m_tokens.set_members(std::move(incarnations));
}

std::optional<ports::steady_time> fleet_control::store_unavailable_since() const
{
    const std::optional<ports::steady_time> since = m_tokens.silent_since();
    return since ? since : m_upstreams.silent_since();
}

void fleet_control::tell_traffic()
{
    fleet_view view = m_peers.view(m_parts.clock.steady_now());
    view.store_unavailable_since = store_unavailable_since();
    for (const auto& [name, grants] : known_grants_now())
    {
        account_token_state& account = view.accounts[name];
        account.own_granted = grants.ever_granted;
        account.granted_in_all = grants.granted_in_all;
    }
    m_parts.traffic.set_fleet(std::move(view));
}

void fleet_control::leave()
{
    m_is_leaving = true;
    tick();
}

void fleet_control::put_back(const std::string& account, std::int64_t tokens,
                             std::function<void()> then)
{
    m_parts.traffic.release(
        account, tokens,
        [this, account, then = std::move(then)](std::int64_t released)
        {
            m_tokens.put_back(account, released);
            then();
        });
}

void fleet_control::give_back(std::function<void()> done)
{
    m_parts.traffic.ask(
        [this, done = std::move(done)](const traffic_digest& seen)
        {
            const std::shared_ptr<std::size_t> left =
                std::make_shared<std::size_t>(seen.accounts.size() + 1);
            const auto next = [this, left, done]
            {
                --*left;
                if (*left == 0)
                {
                    m_tokens.give_back(
                        [this, done]
                        {
                            // Not before: who is registered keeps its entry
                            // in the records.
                            m_registry.leave();
                            done();
                        });
                }
            };
            for (const auto& [account, need] : seen.accounts)
            {
                put_back(account, need.free, next);
            }
            next();
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
        m_peers.candidates(m_is_leaving, m_parts.clock.steady_now()),
        data_centre);
}

const std::string& fleet_control::configuration_text() const
{
    return m_configuration_text;
}

} // namespace turmeric::drivers
