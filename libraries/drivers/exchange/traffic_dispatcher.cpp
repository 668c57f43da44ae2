#include "libraries/drivers/exchange/traffic_dispatcher.hpp"

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

traffic_dispatcher::traffic_dispatcher(
    const traffic_state_dependencies& dependencies, traffic_settings settings)
    : m_state(dependencies, std::move(settings))
{
}

traffic_dispatcher::~traffic_dispatcher() = default;

bool is_drained(const traffic_digest& digest)
{
    return digest.is_refusing && digest.in_flight == 0 &&
           digest.unwritten_responses == 0;
}

bool traffic_dispatcher::is_refusing() const
{
    return m_state.refuse_requests_at &&
           m_state.dependencies.clock.steady_now() >=
               *m_state.refuse_requests_at;
}

std::optional<error> traffic_dispatcher::find_general_refusal() const
{
    if (m_state.routes == nullptr)
    {
        return error{result_code::router_not_ready, "",
                     "the router has not received a configuration yet",
                     outcome::not_run, not_ready_retry_after};
    }
    if (is_refusing())
    {
        return error{result_code::router_stopping, "",
                     "this router is stopping", outcome::not_run,
                     stopping_retry_after};
    }
    if (m_state.exchanges.size() >= m_state.settings.max_exchanges)
    {
        return error{result_code::queue_full, "",
                     "too many requests are in flight", outcome::not_run,
                     full_retry_after};
    }
    if (std::optional<error> refusal = find_overload_refusal())
    {
        return refusal;
    }
    return find_memory_refusal();
}

std::optional<error>
traffic_dispatcher::find_refusal(const domain::caller_request& request) const
{
    if (std::optional<error> refusal = find_general_refusal())
    {
        return refusal;
    }
    const domain::route_table& routes = *m_state.routes;
    const domain::caller_route* route =
        routes.find_route(request.host, request.path);
    if (route == nullptr)
    {
        return error{result_code::unknown_route, "path",
                     "no route of the configuration in force matches this "
                     "host and path"};
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
                     "the request does not state its token counts, so it "
                     "cannot be charged to prepaid tokens"};
    }
    return std::nullopt;
}

void traffic_dispatcher::refuse(ports::caller_channel& channel,
                                const error& failure,
                                const domain::caller_request& request)
{
    std::string body;
    ports::response_head head =
        m_state.dependencies.dialect.write_error_response(failure, body);
    if (request.forwarded_attempts)
    {
        m_state.dependencies.dialect.mark_error_response(
            head, refusal_stage::not_sent, request.id);
    }
    const std::int64_t version =
        m_state.routes == nullptr ? 0 : m_state.routes->version();
    m_state.dependencies.log.write(
        log_level::info, log_event::request_refused,
        {{"request_id", request.id},
         {"code", static_cast<std::int64_t>(failure.code)},
         {"reason", failure.detail},
         {"configuration_version", version}});
    m_state.dependencies.metrics.responses
        .with_labels({"-", std::string(name_of(failure.code))})
        .add();
    channel.send_response(head, std::move(body));
}

std::shared_ptr<ports::exchange_in_flight>
traffic_dispatcher::accept(ports::received_request request,
                           std::shared_ptr<ports::caller_channel> channel)
{
    update_overload();
    result<domain::caller_request> parsed_request =
        m_state.dependencies.dialect.read_request(request.head);
    if (!parsed_request)
    {
        refuse(*channel, parsed_request.failure(), {});
        return nullptr;
    }
    if (const std::optional<error> failure =
            find_refusal(parsed_request.value()))
    {
        refuse(*channel, *failure, parsed_request.value());
        return nullptr;
    }
    if (const std::optional<error> failure = find_body_refusal(request))
    {
        refuse(*channel, *failure, parsed_request.value());
        return nullptr;
    }
    exchange::request_context context;
    context.exchange_id = m_state.next_exchange_id++;
    context.request = std::move(request);
    context.parsed_request = std::move(parsed_request.value());
    context.routes = m_state.routes;
    context.route = context.routes->find_route(context.parsed_request.host,
                                               context.parsed_request.path);
    context.account =
        context.route->is_public
            ? nullptr
            : context.routes->find_account(context.parsed_request.key);
    context.channel = std::move(channel);
    const std::uint64_t exchange_id = context.exchange_id;
    const std::shared_ptr<exchange> started =
        std::make_shared<exchange>(m_state, std::move(context));
    m_state.exchanges.emplace(exchange_id, started);
    started->start();
    return started;
}

void traffic_dispatcher::set_routes(
    std::shared_ptr<const domain::route_table> routes)
{
    m_state.routes = std::move(routes);
    m_state.prepaid_totals.clear();
    for (const domain::caller_account& account : m_state.routes->accounts())
    {
        m_state.prepaid_totals[account.name] =
            account.prepaid_tokens.value_or(0);
    }
    m_state.cold.set_services(m_state.routes->services());
}

void traffic_dispatcher::set_upstreams(
    const std::vector<domain::upstream_entry>& entries)
{
    for (const domain::upstream_entry& removed :
         m_state.load_balancer.set_upstreams(entries))
    {
        m_state.dependencies.transport.close_idle_connections(removed.address);
    }
    std::set<std::uint64_t> incarnations;
    for (const domain::upstream_entry& entry : entries)
    {
        incarnations.insert(domain::incarnation_of(entry));
    }
    m_state.rate_limits.keep_only(incarnations);
    const ports::steady_time now = m_state.dependencies.clock.steady_now();
    m_state.notices.keep_only(incarnations, now);
    m_state.brittle.set_upstreams(entries, now);
    m_state.cold.set_upstreams(entries, now);
    m_state.schedule_pause_end();
    m_state.versions.set_upstreams(entries, now);
    m_state.paths.set_upstreams(entries, now);
    m_state.prober.update();
    m_state.place_all_queued_requests();
}

void traffic_dispatcher::set_fleet(fleet_view view)
{
    m_state.fleet = std::move(view);
    update_outage_pacing();
    m_state.load_balancer.set_peer_load(m_state.fleet.peer_load,
                                        m_state.fleet.routers);
    m_state.retry_limiter.set_routers(
        std::max<std::int64_t>(1, m_state.fleet.routers));
    m_state.rate_limits.set_routers(m_state.fleet.ranking);
    m_state.brittle.set_routers(m_state.fleet.ranking,
                                m_state.dependencies.clock.steady_now());
    if (m_state.fleet.registered)
    {
        m_state.cold.set_routers(*m_state.fleet.registered);
    }
    traffic_metrics& metrics = m_state.dependencies.metrics;
    metrics.cold_upstreams.with_labels({}).set(static_cast<std::int64_t>(
        m_state.cold.count(m_state.dependencies.clock.steady_now())));
    metrics.evacuated_data_centres.with_labels({}).set(
        m_state.fleet.evacuated_data_centres);
    m_state.crashing_parts.set_routers(m_state.fleet.ranking);
    m_state.versions.set_splits(m_state.fleet.splits,
                                m_state.dependencies.random);
    m_state.crashing_parts.forget_unseen(
        m_state.dependencies.clock.steady_now());
    for (const auto& [account, account_state] : m_state.fleet.accounts)
    {
        const std::int64_t granted =
            account_state.own_granted - m_state.released_tokens[account];
        const std::int64_t spendable =
            m_state.ledger.balance(account).spendable();
        m_state.ledger.set_granted(account, granted);
        m_state.ledger.set_spending_limit(account,
                                          account_state.spending_limit);
        const bool is_increase =
            m_state.ledger.balance(account).spendable() > spendable;
        if (is_increase)
        {
            m_state.retry_holds(account);
        }
    }
    m_state.place_all_queued_requests();
}

void traffic_dispatcher::merge_observations(
    const domain::upstream_observations& observations)
{
    m_state.rate_limits.merge(observations.rate_limits);
    m_state.brittle.merge(observations.brittle,
                          m_state.dependencies.clock.steady_now());
    if (!observations.brittle.empty())
    {
        m_state.schedule_pause_end();
    }
    m_state.crashing_parts.merge(observations.suspect_parts,
                                 m_state.dependencies.clock.steady_now());
    m_state.log_blocked();
}

void traffic_dispatcher::update_outage_pacing()
{
    const std::optional<ports::steady_time> since =
        m_state.fleet.store_unavailable_since;
    if (!since || m_state.fleet.can_peer_reach_store)
    {
        m_state.pacer.stop();
        return;
    }
    m_state.pacer.start(m_state.ledger.balances(), *since,
                        m_state.dependencies.clock.steady_now());
}

void traffic_dispatcher::set_retry_limits(
    const domain::retry_rate_limits& limits)
{
    if (limits == m_state.settings.retries)
    {
        return;
    }
    m_state.settings.retries = limits;
    m_state.retry_limiter = domain::retry_rate_limiter(limits);
    m_state.retry_limiter.set_routers(
        std::max<std::int64_t>(1, m_state.fleet.routers));
}

void traffic_dispatcher::set_stop_accepting_after(
    std::chrono::milliseconds time)
{
    m_state.settings.stop_accepting_after = time;
}

void traffic_dispatcher::stop()
{
    m_state.refuse_requests_at = m_state.dependencies.clock.steady_now() +
                                 m_state.settings.stop_accepting_after;
}

traffic_digest traffic_dispatcher::digest()
{
    update_overload();
    show_link_use();
    if (m_state.dependencies.memory != nullptr)
    {
        m_state.dependencies.metrics.show_memory(*m_state.dependencies.memory);
    }
    traffic_digest current;
    current.is_refusing = is_refusing();
    const ports::steady_time now = m_state.dependencies.clock.steady_now();
    current.cut_off_services = m_state.paths.cut_off_services(now);
    // Calls that hang in lost connections put no load on upstreams.
    std::set<std::string> unreached_services = current.cut_off_services;
    std::erase_if(unreached_services, [this](const std::string& service)
                  { return m_state.paths.is_in_contact(service); });
    current.load = m_state.load_balancer.own_load(unreached_services);
    current.is_overloaded = m_state.overload.is_overloaded();
    current.in_flight = static_cast<std::int64_t>(m_state.exchanges.size());
    current.observations.suspect_parts = m_state.crashing_parts.report(now);
    current.blocked = m_state.crashing_parts.list_blocked();
    current.observations.rate_limits = m_state.rate_limits.report(now);
    current.observations.brittle = m_state.brittle.report(now);
    current.moves = m_state.versions.report();
    for (const auto& [account, balance] : m_state.ledger.balances())
    {
        const auto released_tokens = m_state.released_tokens.find(account);
        account_token_demand& demand = current.accounts[account];
        demand.used = balance.used;
        demand.held = balance.held;
        demand.free = balance.free();
        demand.spent = balance.spent() + balance.passed_on;
        demand.typical_hold = balance.typical_hold;
        demand.granted = balance.granted;
        demand.granted += released_tokens == m_state.released_tokens.end()
                              ? 0
                              : released_tokens->second;
    }
    for (const auto& [account, waiting] : m_state.pending_holds)
    {
        std::int64_t requested = 0;
        for (const pending_hold& one : waiting)
        {
            requested += one.tokens;
        }
        account_token_demand& demand = current.accounts[account];
        demand.waiting = requested;
        demand.lacking = std::max<std::int64_t>(0, requested - demand.free);
    }
    return current;
}

void traffic_dispatcher::set_token_demand_handler(std::function<void()> action)
{
    m_state.token_demand_handler = std::move(action);
}

void traffic_dispatcher::set_suspicion_handler(std::function<void()> action)
{
    m_state.suspicion_handler = std::move(action);
}

void traffic_dispatcher::set_rejection_handler(std::function<void()> action)
{
    m_state.rejection_handler = std::move(action);
}

std::int64_t traffic_dispatcher::release(const std::string& account,
                                         std::int64_t requested)
{
    const domain::prepaid_balance balance = m_state.ledger.balance(account);
    const std::int64_t free = std::max<std::int64_t>(0, balance.free());
    const std::int64_t released_tokens =
        std::clamp<std::int64_t>(requested, 0, free);
    m_state.released_tokens[account] += released_tokens;
    m_state.ledger.set_granted(account, balance.granted - released_tokens);
    return released_tokens;
}

std::int64_t traffic_dispatcher::pass_on(const std::string& account,
                                         std::int64_t requested)
{
    const std::int64_t passed = m_state.ledger.pass_on(account, requested);
    m_state.released_tokens[account] += passed;
    return passed;
}

std::int64_t traffic_dispatcher::lend(const std::string& account,
                                      std::int64_t requested)
{
    const bool may_lend =
        m_state.pacer.allows(account, m_state.ledger.balance(account),
                             m_state.dependencies.clock.steady_now());
    return may_lend ? m_state.ledger.lend(account, requested) : 0;
}

void traffic_dispatcher::refuse_pending_holds(const std::string& account)
{
    const auto found = m_state.pending_holds.find(account);
    if (found == m_state.pending_holds.end())
    {
        return;
    }
    // Each refusal removes the request from the list.
    for (const pending_hold& waiting : std::vector<pending_hold>(found->second))
    {
        waiting.owner->refuse_for_tokens();
    }
}

} // namespace turmeric::drivers
