#include "tests/simulation/traffic_fleet.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::tests
{

using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t first_parts = 8;
constexpr std::uint64_t second_parts = 60;
/// Of 100 plain requests, how many are the same.
constexpr std::uint64_t popular_percent = 25;
constexpr std::uint64_t plain_bodies = 1'000;
constexpr const char* configuration_key = "operators/configuration";
constexpr const char* operator_prefix = "operators/";
constexpr const char* order_prefix = "operators/order/";
constexpr const char* status_key = "status";

result<domain::route_declarations> read_declarations(std::string_view)
{
    constexpr std::int32_t max_connections = 2'000;
    domain::route_declarations made;
    made.version = 1;
    domain::caller_route route;
    route.name = "ask";
    route.host = "shop.example";
    route.prefix = "/ask/";
    route.kind = domain::request_kind::streaming;
    route.timeout = 3'000ms;
    route.objective = 600ms;
    route.services.push_back({"s", 1});
    route.max_attempts = 2;
    route.carries_prompts = true;
    route.is_resumable = true;
    made.routes.push_back(route);
    route.name = "look";
    route.prefix = "/look/";
    route.kind = domain::request_kind::idempotent;
    route.carries_prompts = false;
    route.is_resumable = false;
    made.routes.push_back(route);
    route.name = "pay";
    route.prefix = "/pay/";
    route.kind = domain::request_kind::at_most_once;
    route.max_attempts = 1;
    made.routes.push_back(route);
    made.services.push_back(
        {"s", max_connections, domain::engine_properties{48, 400'000, 3}});
    return made;
}

/// Reads an order, such as "v2 15".
result<domain::rollout_order> read_order(std::string_view text)
{
    const std::size_t separator = text.find(' ');
    domain::rollout_order order;
    order.service = "s";
    order.to_version = std::string(text.substr(0, separator));
    order.time_limit = std::chrono::seconds(
        std::stoi(std::string(text.substr(separator + 1))));
    return order;
}

ports::key_write write_status(const domain::move_state& state)
{
    return {status_key, std::string(name_of(state.phase))};
}

/// Counts the request as complete when its response is.
class counting_channel final : public ports::caller_channel
{
public:
    /// `refused` is called if the request did not run, with the time after
    /// which the caller should try again.
    counting_channel(std::shared_ptr<caller_outcomes> outcomes,
                     std::function<void(std::chrono::milliseconds)> refused)
        : m_outcomes(std::move(outcomes))
        , m_refused(std::move(refused))
    {
    }

    void send_response(const ports::response_head& head,
                       std::string body) override
    {
        constexpr int status_ok = 200;
        constexpr int status_unavailable = 503;
        constexpr double milliseconds_per_second = 1'000.0;
        m_outcomes->complete += head.status == status_ok ? 1 : 0;
        const bool is_blocked =
            body.find("\"code\":2009") != std::string::npos ||
            body.find("\"code\":2010") != std::string::npos;
        m_outcomes->blocked += is_blocked ? 1 : 0;
        const std::string* retry_after =
            ports::find_header_value(head.fields, "Retry-After");
        if (head.status == status_unavailable && retry_after != nullptr)
        {
            m_refused(std::chrono::milliseconds(static_cast<std::int64_t>(
                std::stod(*retry_after) * milliseconds_per_second)));
        }
    }

    void start_response(const ports::response_head&) override {}

    void send_part(std::string, std::function<void()> written) override
    {
        written();
    }

    void finish_response() override
    {
        ++m_outcomes->complete;
    }

    void abort_response() override {}

private:
    std::shared_ptr<caller_outcomes> m_outcomes;
    std::function<void(std::chrono::milliseconds)> m_refused;
};

/// Connects the control of a router to its traffic.
class direct_traffic_link final : public drivers::traffic_link
{
public:
    direct_traffic_link(event_queue& events,
                        drivers::traffic_dispatcher& dispatcher)
        : m_events(events)
        , m_dispatcher(dispatcher)
    {
    }

    void set_routes(std::shared_ptr<const domain::route_table> routes) override
    {
        m_dispatcher.set_routes(std::move(routes));
    }

    void set_upstreams(std::vector<domain::upstream_entry> entries) override
    {
        m_dispatcher.set_upstreams(entries);
    }

    void set_fleet(drivers::fleet_view view) override
    {
        m_dispatcher.set_fleet(std::move(view));
    }

    void merge_observations(domain::upstream_observations observations) override
    {
        m_dispatcher.merge_observations(observations);
    }

    void
    request_digest(std::function<void(drivers::traffic_digest)> done) override
    {
        m_events.run_after(0ns, [this, done = std::move(done)]
                           { done(m_dispatcher.digest()); });
    }

    void release(const std::string& account, std::int64_t requested,
                 std::function<void(std::int64_t)> done) override
    {
        done(m_dispatcher.release(account, requested));
    }

    void pass_on(const std::string& account, std::int64_t requested,
                 std::function<void(std::int64_t)> done) override
    {
        done(m_dispatcher.pass_on(account, requested));
    }

    void lend(const std::string& account, std::int64_t requested,
              std::function<void(std::int64_t)> done) override
    {
        done(m_dispatcher.lend(account, requested));
    }

    void refuse_pending_holds(const std::string& account) override
    {
        m_dispatcher.refuse_pending_holds(account);
    }

private:
    event_queue& m_events;
    drivers::traffic_dispatcher& m_dispatcher;
};

} // namespace

double caller_outcomes::complete_fraction() const
{
    return static_cast<double>(complete) /
           static_cast<double>(std::max<std::int64_t>(1, started));
}

class traffic_fleet::router
{
public:
    router(traffic_fleet& fleet, const std::string& the_name, int number)
        : name(the_name)
        , store(fleet.m_store, fleet.m_events)
        , transport(fleet.m_upstreams, fleet.m_peers, number)
        , traffic_metrics(registry)
        , dispatcher({fleet.m_clock, fleet.m_events, transport, fleet.m_random,
                      dialect, fleet.m_log, traffic_metrics, digest},
                     settings())
        , traffic(fleet.m_events, dispatcher)
        , link(fleet.m_network, name)
        , control({store, fleet.m_events, fleet.m_clock, link, traffic,
                   fleet.m_log,
                   [](const auto&, const auto& done) { done(""); }},
                  {configuration_key, "upstreams/", &read_declarations,
                   &read_simulated_upstream, operator_prefix, order_prefix,
                   &read_order, &write_status},
                  {name, name, "east", name, name})
    {
        fleet.m_peers.add(name, dispatcher);
        dispatcher.set_suspicion_handler(
            [this, &fleet] {
                fleet.m_events.run_after(0ns,
                                         [this] { control.report_early(); });
            });
        dispatcher.set_rejection_handler(
            [this, &fleet] {
                fleet.m_events.run_after(0ns, [this]
                                         { control.report_rejection(); });
            });
    }

    static drivers::traffic_settings settings()
    {
        drivers::traffic_settings made;
        made.data_centre = "east";
        made.retries = {0.2, 52};
        return made;
    }

    const std::string name;
    delayed_store store;
    simulated_transport transport;
    platform::platform_dialect dialect;
    adapters::sha256_digest digest;
    metrics::registry registry;
    drivers::traffic_metrics traffic_metrics;
    drivers::traffic_dispatcher dispatcher;
    direct_traffic_link traffic;
    delayed_link link;
    drivers::fleet_control control;
};

traffic_fleet::traffic_fleet(const traffic_fleet_size& size,
                             simulated_traffic_kind kind)
    : m_size(size)
    , m_kind(kind)
    , m_upstreams(m_events, m_clock, m_store, m_random, size.upstreams,
                  size.slots)
{
    m_store.put(configuration_key, "any");
    for (int number = 0; number < size.routers; ++number)
    {
        add_router("router-" + std::to_string(number), number);
    }
}

traffic_fleet::~traffic_fleet() = default;

void traffic_fleet::add_router(const std::string& name, int number)
{
    m_routers.push_back(std::make_unique<router>(*this, name, number));
}

void traffic_fleet::start()
{
    answer_watches();
    for (const auto& one : m_routers)
    {
        m_events.run_after(std::chrono::milliseconds(m_random.next() % 300),
                           [&one] { one->control.start(); });
    }
    m_events.run_for(3s);
}

void traffic_fleet::answer_watches()
{
    m_store.respond_to_watches();
    m_events.run_after(100ms, [this] { answer_watches(); });
}

caller_outcomes traffic_fleet::play(std::chrono::milliseconds duration,
                                    std::uint64_t crashing_percent)
{
    m_crashing_percent = crashing_percent;
    m_outcomes = std::make_shared<caller_outcomes>();
    m_cut_outcomes = std::make_shared<caller_outcomes>();
    m_is_playing = true;
    start_requests();
    m_events.run_for(duration);
    m_is_playing = false;
    m_events.run_for(1s);
    return *m_outcomes;
}

void traffic_fleet::start_requests()
{
    if (!m_is_playing)
    {
        return;
    }
    send_request();
    m_events.run_after(std::chrono::nanoseconds(1s) /
                           m_size.requests_per_second,
                       [this] { start_requests(); });
}

void traffic_fleet::set_crashing_requests(std::uint64_t count)
{
    m_crashing_requests = count;
}

void traffic_fleet::send_request()
{
    const bool is_crashing = m_random.next() % 100 < m_crashing_percent;
    ports::received_request request = make_request(is_crashing);
    const std::size_t number = m_random.next() % m_routers.size();
    std::shared_ptr<caller_outcomes> outcomes =
        number < m_cut_routers ? m_cut_outcomes : m_outcomes;
    if (is_crashing)
    {
        outcomes = std::make_shared<caller_outcomes>();
    }
    ++outcomes->started;
    send_to_router(number, request, outcomes, m_size.caller_retries);
}

void traffic_fleet::send_to_router(
    std::size_t number, const ports::received_request& request,
    const std::shared_ptr<caller_outcomes>& outcomes, int retries_left)
{
    ports::received_request sent = request;
    sent.arrived_at = m_clock.steady_now();
    const auto retry =
        [this, request, outcomes, retries_left](std::chrono::milliseconds after)
    {
        if (retries_left > 0)
        {
            m_events.run_after(after,
                               [this, request, outcomes, retries_left]
                               {
                                   send_to_router(
                                       m_random.next() % m_routers.size(),
                                       request, outcomes, retries_left - 1);
                               });
        }
    };
    router& chosen = *m_routers[number];
    chosen.dispatcher.accept(
        std::move(sent), std::make_shared<counting_channel>(outcomes, retry));
}

ports::received_request traffic_fleet::make_request(bool is_crashing)
{
    ports::received_request request = m_kind == simulated_traffic_kind::prompts
                                          ? make_prompt(is_crashing)
                                          : make_plain_request(is_crashing);
    request.head.method = "POST";
    request.head.fields.push_back({"Host", "shop.example"});
    request.arrived_at = m_clock.steady_now();
    return request;
}

ports::received_request traffic_fleet::make_prompt(bool is_crashing)
{
    const std::string first = std::to_string(m_random.next() % first_parts);
    const std::string second =
        is_crashing ? std::string(simulated_upstreams::crashing_part)
                    : "a" + std::to_string(m_random.next() % second_parts);
    const std::string id = std::to_string(++m_last_request);
    ports::received_request request;
    request.head.target = "/ask/x";
    request.head.fields = {{"X-Request-Id", id},
                           {"X-Token-Count", "2400,20"},
                           {"X-Prompt-Prefix", "f" + first + ":500," + second +
                                                   ":1500,b" + id + ":400"}};
    return request;
}

ports::received_request traffic_fleet::make_plain_request(bool is_crashing)
{
    const std::uint64_t drawn = m_random.next() % 100;
    const std::uint64_t number =
        drawn < popular_percent ? 0 : m_random.next() % plain_bodies;
    ports::received_request request;
    request.head.target =
        m_kind == simulated_traffic_kind::idempotent ? "/look/x" : "/pay/x";
    if (is_crashing && m_crashing_requests > 1)
    {
        request.head.target +=
            std::to_string(m_random.next() % m_crashing_requests);
    }
    request.head.fields = {{"X-Request-Id", std::to_string(++m_last_request)}};
    request.body = is_crashing ? std::string(simulated_upstreams::crashing_body)
                               : "sound " + std::to_string(number);
    return request;
}

void traffic_fleet::kill_router(std::size_t number)
{
    m_stopped_routers.push_back(std::move(m_routers[number]));
    router& killed = *m_stopped_routers.back();
    killed.store.is_cut = true;
    m_network.disconnect(killed.name);
    m_peers.remove(killed.name);
}

void traffic_fleet::replace_router(std::size_t number)
{
    const std::string name = "router-" + std::to_string(number) + "-" +
                             std::to_string(m_stopped_routers.size());
    m_routers[number] =
        std::make_unique<router>(*this, name, static_cast<int>(number));
    m_routers[number]->control.start();
}

void traffic_fleet::restart_router(std::size_t number)
{
    kill_router(number);
    replace_router(number);
    // The directory lists a router only once it is ready.
    m_events.run_for(1s);
}

void traffic_fleet::restart_all_routers()
{
    for (std::size_t number = 0; number < m_routers.size(); ++number)
    {
        kill_router(number);
    }
    for (std::size_t number = 0; number < m_routers.size(); ++number)
    {
        replace_router(number);
    }
    m_events.run_for(1s);
}

void traffic_fleet::cut_routers(std::size_t count, simulated_cut how)
{
    m_cut_routers = how == simulated_cut::none ? 0 : count;
    for (std::size_t number = 0; number < count; ++number)
    {
        m_upstreams.cut(static_cast<int>(number), how);
    }
}

void traffic_fleet::lose_datagrams(std::uint64_t percent)
{
    m_network.lost_percent = percent;
}

std::int64_t traffic_fleet::datagrams() const
{
    return m_network.sent;
}

ports::steady_time traffic_fleet::now() const
{
    return m_clock.steady_now();
}

caller_outcomes traffic_fleet::cut_outcomes() const
{
    return *m_cut_outcomes;
}

std::int64_t traffic_fleet::forwarded_requests() const
{
    return m_peers.calls;
}

void traffic_fleet::order_version(const std::string& version,
                                  std::chrono::seconds time_limit)
{
    m_store.put(std::string(order_prefix) + "s",
                version + " " + std::to_string(time_limit.count()));
}

std::string traffic_fleet::move_status() const
{
    return m_store.value(status_key);
}

void traffic_fleet::cut_from_store(std::size_t number)
{
    m_routers[number]->store.is_cut = true;
}

simulated_upstreams& traffic_fleet::upstreams()
{
    return m_upstreams;
}

} // namespace turmeric::tests
