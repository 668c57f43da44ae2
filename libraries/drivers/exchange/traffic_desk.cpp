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
/// Requests that lack tokens within this time are asked for together.
constexpr std::chrono::milliseconds ask_interval{20};

} // namespace

traffic_desk::traffic_desk(const traffic_parts& parts,
                           traffic_settings settings)
    : m_parts(parts)
    , m_settings(std::move(settings))
    , m_board(m_settings.data_centre)
    , m_retries(m_settings.retries)
{
}

traffic_desk::~traffic_desk() = default;

std::optional<error> traffic_desk::find_refusal_to_all() const
{
    if (m_routes == nullptr)
    {
        return error{result_code::router_not_ready, "",
                     "no configuration is known yet", outcome::not_run,
                     not_ready_retry_after};
    }
    if (m_refuse_from && m_parts.clock.steady_now() >= *m_refuse_from)
    {
        return error{result_code::router_stopping, "",
                     "this router is stopping", outcome::not_run,
                     stopping_retry_after};
    }
    if (m_exchanges.size() >= m_settings.most_exchanges)
    {
        return error{result_code::queue_full, "",
                     "too many requests are in flight", outcome::not_run,
                     full_retry_after};
    }
    return std::nullopt;
}

std::shared_ptr<ports::exchange_in_flight>
traffic_desk::accept(ports::arrived_request request,
                     std::shared_ptr<ports::caller_channel> channel)
{
    const auto refuse =
        [&](const error& failure,
            const std::string& id) -> std::shared_ptr<ports::exchange_in_flight>
    {
        std::string body;
        const ports::response_head head =
            m_parts.dialect.write_failure(failure, body);
        m_parts.log.write(
            log_level::info, log_event::request_refused,
            {{"request_id", id},
             {"code", static_cast<std::int64_t>(failure.code)},
             {"reason", failure.detail},
             {"configuration_version",
              m_routes == nullptr ? std::int64_t{-1} : m_routes->version()}});
        m_parts.metrics.answers.with({"-", std::string(name_of(failure.code))})
            .add();
        channel->send_answer(head, std::move(body));
        return nullptr;
    };
    result<domain::caller_request> read =
        m_parts.dialect.read_request(request.head);
    if (!read)
    {
        return refuse(read.failure(), "");
    }
    const std::string& id = read.value().id;
    if (const std::optional<error> failure = find_refusal_to_all())
    {
        return refuse(*failure, id);
    }
    const domain::caller_route* route =
        m_routes->find_route(read.value().host, read.value().path);
    if (route == nullptr)
    {
        return refuse({result_code::unknown_route, "path",
                       "no route of the configuration in force takes this "
                       "host and path"},
                      id);
    }
    const domain::caller_account* account =
        m_routes->find_account(read.value().key);
    if (account == nullptr && !route->is_public && m_routes->has_accounts())
    {
        return refuse({read.value().key.empty() ? result_code::missing_key
                                                : result_code::wrong_key,
                       "key", "the key belongs to no client account"},
                      id);
    }
    exchange::subject about;
    about.number = m_next_number++;
    about.request = std::move(request);
    about.read = std::move(read.value());
    about.routes = m_routes;
    about.route = route;
    about.account = route->is_public ? nullptr : account;
    about.channel = std::move(channel);
    const std::uint64_t number = about.number;
    std::shared_ptr<exchange> started =
        std::make_shared<exchange>(*this, std::move(about));
    m_exchanges.emplace(number, started);
    started->start();
    return started;
}

void traffic_desk::set_routes(std::shared_ptr<const domain::route_table> routes)
{
    m_routes = std::move(routes);
    m_prepaid.clear();
    for (const domain::caller_account& account : m_routes->accounts())
    {
        m_prepaid[account.name] = account.prepaid_tokens.value_or(0);
    }
}

void traffic_desk::set_upstreams(
    const std::vector<domain::upstream_entry>& entries)
{
    for (const domain::upstream_entry& gone : m_board.set_upstreams(entries))
    {
        m_parts.transport.forget(gone.address);
    }
    serve_lines();
}

void traffic_desk::set_fleet(fleet_view view)
{
    m_fleet = std::move(view);
    m_board.set_peer_load(m_fleet.peer_load, m_fleet.routers);
    m_retries.set_routers(std::max<std::int64_t>(1, m_fleet.routers));
    for (const auto& [account, known] : m_fleet.accounts)
    {
        const std::int64_t granted = known.own_granted - m_released[account];
        const bool is_more = granted > m_ledger.balance(account).granted;
        m_ledger.set_granted(account, granted);
        if (is_more)
        {
            retry_holds(account);
        }
    }
    serve_lines();
}

void traffic_desk::stop()
{
    m_refuse_from =
        m_parts.clock.steady_now() + m_settings.stop_accepting_after;
}

traffic_digest traffic_desk::digest() const
{
    traffic_digest seen;
    seen.load = m_board.own_load();
    seen.in_flight = static_cast<std::int64_t>(m_exchanges.size());
    for (const auto& [account, balance] : m_ledger.balances())
    {
        const auto released = m_released.find(account);
        account_need& need = seen.accounts[account];
        need.used = balance.used;
        need.held = balance.held;
        need.free = balance.free();
        need.typical_hold = balance.typical_hold;
        need.granted = balance.granted;
        need.granted += released == m_released.end() ? 0 : released->second;
    }
    for (const auto& [account, waiting] : m_waiting_holds)
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
    m_need = std::move(action);
}

std::int64_t traffic_desk::release(const std::string& account,
                                   std::int64_t wanted)
{
    const domain::prepaid_balance balance = m_ledger.balance(account);
    const std::int64_t free = std::max<std::int64_t>(0, balance.free());
    const std::int64_t released = std::clamp<std::int64_t>(wanted, 0, free);
    m_released[account] += released;
    m_ledger.set_granted(account, balance.granted - released);
    return released;
}

void traffic_desk::serve_line(const std::string& service)
{
    std::optional<std::uint64_t> next = m_line.next(service);
    while (next)
    {
        const auto found = m_exchanges.find(*next);
        if (found == m_exchanges.end())
        {
            m_line.remove(*next);
            next = m_line.next(service);
            continue;
        }
        const std::shared_ptr<exchange> waiting = found->second;
        if (!waiting->try_place())
        {
            return;
        }
        m_line.remove(*next);
        next = m_line.next(service);
    }
}

void traffic_desk::serve_lines()
{
    for (const std::string& service : m_line.services())
    {
        serve_line(service);
    }
}

void traffic_desk::retry_holds(const std::string& account)
{
    const auto found = m_waiting_holds.find(account);
    if (found == m_waiting_holds.end())
    {
        return;
    }
    // Those that came first are served first. One that ends may lead back
    // here, so the list is taken out meanwhile.
    std::vector<waiting_hold> waiting = std::move(found->second);
    m_waiting_holds.erase(found);
    std::erase_if(waiting, [](const waiting_hold& one)
                  { return one.who->retry_hold(); });
    if (!waiting.empty())
    {
        std::vector<waiting_hold>& later = m_waiting_holds[account];
        later.insert(later.begin(), waiting.begin(), waiting.end());
    }
}

void traffic_desk::leave_holds(const std::string& account, const exchange& who)
{
    const auto found = m_waiting_holds.find(account);
    if (found == m_waiting_holds.end())
    {
        return;
    }
    std::erase_if(found->second, [&](const waiting_hold& one)
                  { return one.who.get() == &who; });
    if (found->second.empty())
    {
        m_waiting_holds.erase(found);
    }
}

void traffic_desk::forget(std::uint64_t number)
{
    m_exchanges.erase(number);
}

bool traffic_desk::covers(const std::string& account, std::int64_t tokens) const
{
    const auto total = m_prepaid.find(account);
    const std::int64_t prepaid = total == m_prepaid.end() ? 0 : total->second;
    const domain::prepaid_balance own = m_ledger.balance(account);
    const auto fleet = m_fleet.accounts.find(account);
    const std::int64_t peers_spent =
        fleet == m_fleet.accounts.end() ? 0 : fleet->second.peers_spent;
    return prepaid - own.used - own.held - peers_spent >= tokens;
}

bool traffic_desk::may_get(const std::string& account,
                           std::int64_t tokens) const
{
    const auto total = m_prepaid.find(account);
    const auto known = m_fleet.accounts.find(account);
    if (total == m_prepaid.end() || known == m_fleet.accounts.end())
    {
        return true;
    }
    const std::int64_t rest = total->second - known->second.granted_in_all;
    return (!m_fleet.is_store_silent && rest >= tokens) ||
           known->second.peers_free / 2 >= tokens;
}

void traffic_desk::ask_for_tokens()
{
    const ports::steady_time now = m_parts.clock.steady_now();
    if (!m_need || (m_asked_at && now - *m_asked_at < ask_interval))
    {
        return;
    }
    m_asked_at = now;
    m_need();
}

} // namespace turmeric::drivers
