#include "utilities/turmeric_load/router_directory.hpp"

#include "libraries/adapters/etcd/host_port.hpp"

#include <httplib.h>

#include <algorithm>

namespace turmeric::load
{

namespace
{

constexpr std::chrono::milliseconds shortest_refresh{200};
constexpr std::chrono::seconds ask_timeout{2};

} // namespace

std::optional<locate_answer> parse_locate_answer(const std::string& text)
{
    constexpr bool allows_exceptions = false;
    const json document = json::parse(text, nullptr, allows_exceptions);
    const auto routers = document.find("routers");
    if (!document.is_object() || routers == document.end() ||
        !routers->is_array())
    {
        return std::nullopt;
    }
    locate_answer answer;
    for (const json& router : *routers)
    {
        const auto address = router.find("address");
        if (address == router.end() || !address->is_string())
        {
            continue;
        }
        located_router found{address->get<std::string>(), 1.0};
        const auto weight = router.find("weight");
        if (weight != router.end() && weight->is_number())
        {
            found.weight = std::max(weight->get<double>(), 0.0);
        }
        if (adapters::parse_host_port(found.address))
        {
            answer.routers.push_back(std::move(found));
        }
    }
    const auto lives = document.find("time_to_live_ms");
    if (lives != document.end() && lives->is_number_integer())
    {
        answer.time_to_live =
            std::chrono::milliseconds(lives->get<std::int64_t>());
    }
    return answer.routers.empty() ? std::nullopt
                                  : std::optional<locate_answer>(answer);
}

router_directory::router_directory(const load_options& options)
    : m_options(options)
{
}

router_directory::~router_directory()
{
    m_stop.request_stop();
    if (m_thread.joinable())
    {
        m_thread.join();
    }
}

bool router_directory::start()
{
    if (m_options.is_direct)
    {
        for (const std::string& target : m_options.targets)
        {
            m_known.routers.push_back({target, 1.0});
        }
        return true;
    }
    if (!ask_all())
    {
        return false;
    }
    m_thread = std::thread([this] { refresh(); });
    return true;
}

std::string router_directory::pick(std::uint64_t draw,
                                   const std::string& avoided)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<located_router> choices;
    std::copy_if(m_known.routers.begin(), m_known.routers.end(),
                 std::back_inserter(choices),
                 [&avoided](const located_router& router)
                 { return router.address != avoided; });
    if (choices.empty())
    {
        choices = m_known.routers;
    }
    double total = 0;
    for (const located_router& router : choices)
    {
        total += router.weight;
    }
    constexpr std::uint64_t parts = 1'000'000;
    double place =
        total * static_cast<double>(draw % parts) / static_cast<double>(parts);
    for (const located_router& router : choices)
    {
        place -= router.weight;
        if (place < 0)
        {
            return router.address;
        }
    }
    return choices.at(draw % choices.size()).address;
}

bool router_directory::ask_all()
{
    std::vector<std::string> asked = m_options.targets;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        for (const located_router& router : m_known.routers)
        {
            asked.push_back(router.address);
        }
    }
    for (const std::string& address : asked)
    {
        const std::optional<locate_answer> answer = ask(address);
        if (answer)
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_known = *answer;
            return true;
        }
    }
    return false;
}

std::optional<locate_answer>
router_directory::ask(const std::string& address) const
{
    const std::optional<adapters::host_port> parsed =
        adapters::parse_host_port(address);
    if (!parsed)
    {
        return std::nullopt;
    }
    constexpr int http_ok = 200;
    httplib::Client client(parsed->host, parsed->port);
    client.set_connection_timeout(ask_timeout);
    client.set_read_timeout(ask_timeout);
    httplib::Headers headers;
    if (!m_options.key.empty())
    {
        headers.emplace("Authorization", "Bearer " + m_options.key);
    }
    const httplib::Result reply = client.Get("/v1/routers", headers);
    if (!reply || reply->status != http_ok)
    {
        return std::nullopt;
    }
    return parse_locate_answer(reply->body);
}

void router_directory::refresh()
{
    bool is_running = true;
    while (is_running)
    {
        std::chrono::milliseconds wait{0};
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            wait = std::max(m_known.time_to_live, shortest_refresh);
        }
        is_running = m_stop.sleep_for(wait);
        if (is_running)
        {
            // An answer that cannot be renewed is used on.
            ask_all();
        }
    }
}

} // namespace turmeric::load
