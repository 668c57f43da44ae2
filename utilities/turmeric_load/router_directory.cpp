#include "utilities/turmeric_load/router_directory.hpp"

#include "libraries/adapters/etcd/host_port.hpp"
#include "libraries/adapters/httplib/checked_client.hpp"

#include <httplib.h>

#include <algorithm>

namespace turmeric::load
{

namespace
{

constexpr std::chrono::milliseconds min_refresh_interval{200};
constexpr std::chrono::seconds query_timeout{2};

} // namespace

std::optional<locate_response> parse_locate_response(const std::string& text)
{
    constexpr bool allows_exceptions = false;
    const json document = json::parse(text, nullptr, allows_exceptions);
    const auto routers = document.find("routers");
    if (!document.is_object() || routers == document.end() ||
        !routers->is_array())
    {
        return std::nullopt;
    }
    locate_response response;
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
            response.routers.push_back(std::move(found));
        }
    }
    const auto time_to_live = document.find("time_to_live_ms");
    if (time_to_live != document.end() && time_to_live->is_number_integer())
    {
        response.time_to_live =
            std::chrono::milliseconds(time_to_live->get<std::int64_t>());
    }
    return response.routers.empty() ? std::nullopt
                                    : std::optional<locate_response>(response);
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
            m_located.routers.push_back({target, 1.0});
        }
        return true;
    }
    if (!query_routers())
    {
        return false;
    }
    m_thread = std::thread([this] { refresh(); });
    return true;
}

std::string router_directory::pick(std::uint64_t random_number,
                                   const std::string& avoided_address)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<located_router> candidates;
    std::copy_if(m_located.routers.begin(), m_located.routers.end(),
                 std::back_inserter(candidates),
                 [&avoided_address](const located_router& router)
                 { return router.address != avoided_address; });
    if (candidates.empty())
    {
        candidates = m_located.routers;
    }
    double total_weight = 0;
    for (const located_router& router : candidates)
    {
        total_weight += router.weight;
    }
    constexpr std::uint64_t steps = 1'000'000;
    double remaining_weight = total_weight *
                              static_cast<double>(random_number % steps) /
                              static_cast<double>(steps);
    for (const located_router& router : candidates)
    {
        remaining_weight -= router.weight;
        if (remaining_weight < 0)
        {
            return router.address;
        }
    }
    return candidates.at(random_number % candidates.size()).address;
}

bool router_directory::query_routers()
{
    std::vector<std::string> addresses = m_options.targets;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        for (const located_router& router : m_located.routers)
        {
            addresses.push_back(router.address);
        }
    }
    for (const std::string& address : addresses)
    {
        const std::optional<locate_response> response = query_router(address);
        if (response)
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_located = *response;
            return true;
        }
    }
    return false;
}

std::optional<locate_response>
router_directory::query_router(const std::string& address) const
{
    const std::optional<adapters::host_port> parsed =
        adapters::parse_host_port(address);
    if (!parsed)
    {
        return std::nullopt;
    }
    constexpr int http_ok = 200;
    adapters::checked_client client(parsed->host, parsed->port);
    client.set_connection_timeout(query_timeout);
    client.set_read_timeout(query_timeout);
    httplib::Headers headers;
    if (!m_options.key.empty())
    {
        headers.emplace("Authorization", "Bearer " + m_options.key);
    }
    const httplib::Result response = client.Get("/v1/routers", headers);
    if (!response || response->status != http_ok)
    {
        return std::nullopt;
    }
    return parse_locate_response(response->body);
}

void router_directory::refresh()
{
    bool is_running = true;
    while (is_running)
    {
        std::chrono::milliseconds wait{0};
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            wait = std::max(m_located.time_to_live, min_refresh_interval);
        }
        is_running = m_stop.sleep_for(wait);
        if (is_running)
        {
            // If no router responds, the last list stays in use.
            query_routers();
        }
    }
}

} // namespace turmeric::load
