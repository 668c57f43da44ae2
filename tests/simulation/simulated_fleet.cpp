#include "tests/simulation/simulated_fleet.hpp"

#include "libraries/codecs/fleet/prepaid_record_codec.hpp"

#include <fmt/format.h>
#include <limits>

namespace turmeric::tests
{

using namespace std::chrono_literals;

namespace
{

std::string account_name(int number)
{
    return "account-" + std::to_string(number);
}

result<domain::route_declarations> read_declarations(std::string_view text)
{
    domain::route_declarations made;
    made.version = std::stoll(std::string(text));
    for (int number = 0; number < simulated_fleet::account_count; ++number)
    {
        made.accounts.push_back({account_name(number),
                                 {"key-" + std::to_string(number)},
                                 std::nullopt,
                                 simulated_fleet::prepaid_tokens});
    }
    return made;
}

result<domain::upstream_entry> reject_upstream(std::string_view,
                                               std::string_view)
{
    return error{result_code::bad_argument, "", ""};
}

} // namespace

simulated_fleet::router::router(simulated_fleet& fleet,
                                const std::string& the_vm,
                                const std::string& incarnation)
    : store(fleet.m_store, fleet.m_events)
    , traffic(fleet.m_events)
    , link(fleet.m_network, incarnation)
    , control(
          {store, fleet.m_events, fleet.m_clock, link, traffic, fleet.m_log,
           [&fleet](const std::string& address, const auto& done)
           { done(fleet.configuration_text(address)); }},
          {"configuration", "upstreams/", &read_declarations, &reject_upstream},
          {incarnation, the_vm, "east", incarnation, incarnation})
    , vm(the_vm)
    , name(incarnation)
{
}

simulated_fleet::simulated_fleet(int routers)
{
    m_store.begin_era();
    set_configuration(1);
    for (int number = 0; number < routers; ++number)
    {
        add_router("vm-" + std::to_string(number));
    }
}

void simulated_fleet::add_router(const std::string& vm)
{
    m_routers.push_back(std::make_unique<router>(
        *this, vm, fmt::format("{}-{:016x}", vm, m_routers.size())));
}

void simulated_fleet::set_configuration(int version)
{
    m_store.put("configuration", std::to_string(version));
}

void simulated_fleet::start_another_router()
{
    start_router("vm-" + std::to_string(m_routers.size()), false);
}

void simulated_fleet::start_router(const std::string& vm, bool is_cut)
{
    add_router(vm);
    m_routers.back()->store.is_cut = is_cut;
    m_routers.back()->control.start();
}

int simulated_fleet::lowest_configuration() const
{
    int lowest = std::numeric_limits<int>::max();
    for (const auto& one : m_routers)
    {
        const std::string& text = one->control.configuration_text();
        lowest = std::min(lowest, text.empty() ? 0 : std::stoi(text));
    }
    return lowest;
}

std::string
simulated_fleet::configuration_text(const std::string& address) const
{
    for (const auto& one : m_routers)
    {
        if (one->name == address)
        {
            return one->control.configuration_text();
        }
    }
    return "";
}

void simulated_fleet::start()
{
    answer_watches();
    for (const auto& one : m_routers)
    {
        m_events.run_after(std::chrono::milliseconds(m_random.next() % 300),
                           [&one] { one->control.start(); });
    }
    m_events.run_for(6s);
}

void simulated_fleet::answer_watches()
{
    m_store.respond_to_watches();
    m_events.run_after(200ms, [this] { answer_watches(); });
}

served_requests simulated_fleet::play(std::chrono::milliseconds duration)
{
    m_is_playing = true;
    start_requests();
    m_events.run_for(duration);
    m_is_playing = false;
    m_events.run_for(1s);
    served_requests sum;
    for (const auto& one : m_routers)
    {
        sum.served += one->traffic.outcome.served;
        sum.refused += one->traffic.outcome.refused;
        one->traffic.outcome = {};
    }
    return sum;
}

void simulated_fleet::start_requests()
{
    if (!m_is_playing)
    {
        return;
    }
    router& chosen = pick_router();
    const int account = static_cast<int>(m_random.next() % account_count);
    const std::int64_t tokens =
        1'000 + static_cast<std::int64_t>(m_random.next() % 8'000);
    chosen.traffic.start_request(account_name(account), tokens,
                                 [&chosen]
                                 { chosen.control.adjust_token_grants(); });
    constexpr std::chrono::nanoseconds interval =
        std::chrono::nanoseconds(1s) / requests_per_second;
    m_events.run_after(interval, [this] { start_requests(); });
}

simulated_fleet::router& simulated_fleet::pick_router()
{
    while (true)
    {
        router& picked = *m_routers[m_random.next() % m_routers.size()];
        if (!picked.is_killed)
        {
            return picked;
        }
    }
}

void simulated_fleet::take_copy()
{
    m_store.take_copy();
}

void simulated_fleet::restore_store(std::chrono::milliseconds duration)
{
    set_cut(true);
    m_store.fail_watches();
    play(duration);
    m_store.restore_copy();
    set_cut(false);
}

void simulated_fleet::kill(std::size_t router)
{
    m_routers[router]->held_at_kill = m_routers[router]->traffic.held_tokens();
    m_routers[router]->is_killed = true;
    m_routers[router]->store.is_cut = true;
    m_network.disconnect(m_routers[router]->name);
}

void simulated_fleet::replace(const std::vector<std::size_t>& routers,
                              std::chrono::milliseconds down)
{
    for (const std::size_t number : routers)
    {
        kill(number);
    }
    play(down);
    for (const std::size_t number : routers)
    {
        start_router(m_routers[number]->vm, false);
    }
}

void simulated_fleet::replace_all_routers()
{
    for (const std::size_t number : list_running())
    {
        const bool is_cut = m_routers[number]->store.is_cut;
        kill(number);
        start_router(m_routers[number]->vm, is_cut);
    }
}

std::vector<std::size_t> simulated_fleet::list_running() const
{
    std::vector<std::size_t> running;
    for (std::size_t number = 0; number < m_routers.size(); ++number)
    {
        if (!m_routers[number]->is_killed)
        {
            running.push_back(number);
        }
    }
    return running;
}

void simulated_fleet::set_cut(bool is_cut)
{
    for (const auto& one : m_routers)
    {
        one->store.is_cut = is_cut || one->is_killed;
    }
}

void simulated_fleet::damage_network(std::uint64_t lost_percent,
                                     std::uint64_t doubled_percent)
{
    m_network.lost_percent = lost_percent;
    m_network.doubled_percent = doubled_percent;
}

std::int64_t simulated_fleet::usable_tokens() const
{
    std::int64_t sum = 0;
    for (const auto& one : m_routers)
    {
        sum += one->is_killed ? one->traffic.spent_tokens()
                              : one->traffic.usable_tokens();
    }
    return sum;
}

std::int64_t simulated_fleet::lost_in_flight() const
{
    std::int64_t sum = 0;
    for (const auto& one : m_routers)
    {
        sum += one->held_at_kill;
    }
    return sum;
}

std::int64_t simulated_fleet::store_calls() const
{
    std::int64_t calls = 0;
    for (const auto& one : m_routers)
    {
        calls += one->store.read_count + one->store.commit_count;
    }
    return calls;
}

std::int64_t simulated_fleet::granted_in_all() const
{
    std::int64_t granted = 0;
    for (int number = 0; number < account_count; ++number)
    {
        granted += granted_of(account_name(number));
    }
    return granted;
}

std::int64_t simulated_fleet::granted_of(const std::string& account) const
{
    std::int64_t granted = 0;
    for (const auto& [key, item] : m_store.items("turmericfront/tokens/"))
    {
        if (key.ends_with("/" + account))
        {
            granted = std::max(
                granted,
                codecs::read_prepaid_record(item.value).value().granted_in_all);
        }
    }
    return granted;
}

} // namespace turmeric::tests
