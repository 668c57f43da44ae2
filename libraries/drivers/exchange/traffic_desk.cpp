#include "libraries/drivers/exchange/traffic_desk.hpp"

#include "libraries/drivers/exchange/exchange.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::drivers
{

namespace
{

constexpr std::chrono::milliseconds not_ready_retry_after{500};
constexpr std::chrono::milliseconds stopping_retry_after{50};
constexpr std::chrono::milliseconds full_retry_after{300};

} // namespace

traffic_desk::traffic_desk(const traffic_parts& parts,
                           traffic_settings settings)
    : m_state(parts, std::move(settings))
{
}

traffic_desk::~traffic_desk() = default;

std::optional<error> traffic_desk::find_refusal_to_all() const
{
    if (m_state.routes == nullptr)
    {
        return error{result_code::router_not_ready, "",
                     "no configuration is known yet", outcome::not_run,
                     not_ready_retry_after};
    }
    if (m_state.refuse_from &&
        m_state.parts.clock.steady_now() >= *m_state.refuse_from)
    {
        return error{result_code::router_stopping, "",
                     "this router is stopping", outcome::not_run,
                     stopping_retry_after};
    }
    if (m_state.exchanges.size() >= m_state.settings.most_exchanges)
    {
        return error{result_code::queue_full, "",
                     "too many requests are in flight", outcome::not_run,
                     full_retry_after};
    }
    return std::nullopt;
}

std::optional<error>
traffic_desk::find_refusal(const domain::caller_request& request) const
{
    if (std::optional<error> refusal = find_refusal_to_all())
    {
        return refusal;
    }
    const domain::route_table& routes = *m_state.routes;
    const domain::caller_route* route =
        routes.find_route(request.host, request.path);
    if (route == nullptr)
    {
        return error{result_code::unknown_route, "path",
                     "no route of the configuration in force takes this host "
                     "and path"};
    }
    const bool needs_key = !route->is_public && routes.has_accounts();
    if (!needs_key)
    {
        return std::nullopt;
    }
    const domain::caller_account* account = routes.find_account(request.key);
    if (account == nullptr)
    {
        return error{request.key.empty() ? result_code::missing_key
                                         : result_code::wrong_key,
                     "key", "the key belongs to no client account"};
    }
    if (route->carries_prompts && account->prepaid_tokens && !request.prompt)
    {
        return error{result_code::invalid_field, "prompt",
                     "the request does not tell its tokens, so it cannot be "
                     "counted against a prepaid total"};
    }
    return std::nullopt;
}

void traffic_desk::refuse(ports::caller_channel& channel, const error& failure,
                          const std::string& request_id)
{
    std::string body;
    const ports::response_head head =
        m_state.parts.dialect.write_failure(failure, body);
    const std::int64_t version =
        m_state.routes == nullptr ? 0 : m_state.routes->version();
    m_state.parts.log.write(log_level::info, log_event::request_refused,
                            {{"request_id", request_id},
                             {"code", static_cast<std::int64_t>(failure.code)},
                             {"reason", failure.detail},
                             {"configuration_version", version}});
    m_state.parts.metrics.answers
        .with_labels({"-", std::string(name_of(failure.code))})
        .add();
    channel.send_response(head, std::move(body));
}

std::shared_ptr<ports::exchange_in_flight>
traffic_desk::accept(ports::received_request request,
                     std::shared_ptr<ports::caller_channel> channel)
{
    result<domain::caller_request> read =
        m_state.parts.dialect.read_request(request.head);
    if (!read)
    {
        refuse(*channel, read.failure(), "");
        return nullptr;
    }
    if (const std::optional<error> failure = find_refusal(read.value()))
    {
        refuse(*channel, *failure, read.value().id);
        return nullptr;
    }
    exchange::subject about;
    about.number = m_state.next_number++;
    about.request = std::move(request);
    about.read = std::move(read.value());
    about.routes = m_state.routes;
    about.route = about.routes->find_route(about.read.host, about.read.path);
    about.account = about.route->is_public
                        ? nullptr
                        : about.routes->find_account(about.read.key);
    about.channel = std::move(channel);
    const std::uint64_t number = about.number;
    const std::shared_ptr<exchange> started =
        std::make_shared<exchange>(m_state, std::move(about));
    m_state.exchanges.emplace(number, started);
    started->start();
    return started;
}

void traffic_desk::set_routes(std::shared_ptr<const domain::route_table> routes)
{
    m_state.routes = std::move(routes);
    m_state.prepaid.clear();
    for (const domain::caller_account& account : m_state.routes->accounts())
    {
        m_state.prepaid[account.name] = account.prepaid_tokens.value_or(0);
    }
}

void traffic_desk::set_upstreams(
    const std::vector<domain::upstream_entry>& entries)
{
    for (const domain::upstream_entry& gone :
         m_state.board.set_upstreams(entries))
    {
        m_state.parts.transport.close_idle_connections(gone.address);
    }
    m_state.serve_lines();
}

void traffic_desk::set_fleet(fleet_view view)
{
    m_state.fleet = std::move(view);
    pace_stock();
    m_state.board.set_peer_load(m_state.fleet.peer_load, m_state.fleet.routers);
    m_state.retries.set_routers(
        std::max<std::int64_t>(1, m_state.fleet.routers));
    for (const auto& [account, known] : m_state.fleet.accounts)
    {
        const std::int64_t granted =
            known.own_granted - m_state.released[account];
        const bool is_more = granted > m_state.ledger.balance(account).granted;
        m_state.ledger.set_granted(account, granted);
        if (is_more)
        {
            m_state.retry_holds(account);
        }
    }
    m_state.serve_lines();
}

void traffic_desk::pace_stock()
{
    const std::optional<ports::steady_time> since =
        m_state.fleet.store_silent_since;
    if (!since || m_state.fleet.is_peer_in_touch)
    {
        m_state.pacer.stop();
        return;
    }
    m_state.pacer.start(m_state.ledger.balances(), *since,
                        m_state.parts.clock.steady_now());
}

void traffic_desk::set_retries(const domain::retry_rate_limits& limits)
{
    if (limits == m_state.settings.retries)
    {
        return;
    }
    m_state.settings.retries = limits;
    m_state.retries = domain::retry_rate_limiter(limits);
    m_state.retries.set_routers(
        std::max<std::int64_t>(1, m_state.fleet.routers));
}

void traffic_desk::stop()
{
    m_state.refuse_from = m_state.parts.clock.steady_now() +
                          m_state.settings.stop_accepting_after;
}

traffic_digest traffic_desk::digest() const
{
    traffic_digest seen;
    seen.load = m_state.board.own_load();
    seen.in_flight = static_cast<std::int64_t>(m_state.exchanges.size());
    for (const auto& [account, balance] : m_state.ledger.balances())
    {
        const auto released = m_state.released.find(account);
        account_need& need = seen.accounts[account];
        need.used = balance.used;
        need.held = balance.held;
        need.free = balance.free();
        need.typical_hold = balance.typical_hold;
        need.granted = balance.granted;
        need.granted +=
            released == m_state.released.end() ? 0 : released->second;
    }
    for (const auto& [account, waiting] : m_state.waiting_holds)
    {
        std::int64_t wanted = 0;
        for (const waiting_hold& one : waiting)
        {
            wanted += one.tokens;
        }
        account_need& need = seen.accounts[account];
        need.lacking = std::max<std::int64_t>(0, wanted - need.free);
    }
    return seen;
}

void traffic_desk::on_need(std::function<void()> action)
{
    m_state.need = std::move(action);
}

std::int64_t traffic_desk::release(const std::string& account,
                                   std::int64_t wanted)
{
    const domain::prepaid_balance balance = m_state.ledger.balance(account);
    const std::int64_t free = std::max<std::int64_t>(0, balance.free());
    const std::int64_t released = std::clamp<std::int64_t>(wanted, 0, free);
    m_state.released[account] += released;
    m_state.ledger.set_granted(account, balance.granted - released);
    return released;
}

} // namespace turmeric::drivers
