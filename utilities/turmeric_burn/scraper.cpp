#include "utilities/turmeric_burn/scraper.hpp"

#include "libraries/codecs/burn/burn_reader.hpp"
#include "libraries/codecs/common/json_reader.hpp"

#include <fmt/format.h>
#include <utility>

namespace turmeric::burn
{

scraper::scraper(ports::upstream_caller& caller,
                 const domain::burn_calculator& objectives,
                 std::set<std::string> accounts)
    : m_caller(caller)
    , m_objectives(objectives)
    , m_accounts(std::move(accounts))
{
}

std::vector<domain::burn_sample>
scraper::read(const std::vector<std::string>& routers,
              std::chrono::system_clock::time_point now)
{
    std::vector<domain::burn_sample> samples;
    for (const std::string& router : routers)
    {
        domain::burn_sample sample;
        sample.is_missing = true;
        const result<std::string> text = fetch(router, "/metrics");
        if (text)
        {
            const auto lines = codecs::parse_metrics(text.value());
            if (lines)
            {
                sample = codecs::read_burn_sample(lines.value(), m_objectives,
                                                  m_accounts);
            }
        }
        sample.time = now;
        sample.router = router;
        samples.push_back(std::move(sample));
    }
    return samples;
}

result<std::vector<std::string>>
scraper::locate(const std::vector<std::string>& routers)
{
    for (const std::string& router : routers)
    {
        const result<std::string> text = fetch(router, "/v1/routers");
        if (!text)
        {
            continue;
        }
        const result<json> parsed = codecs::parse_json(
            text.value(), result_code::peer_protocol, "routers");
        if (!parsed || !parsed.value().contains("routers"))
        {
            continue;
        }
        std::vector<std::string> found;
        for (const json& entry : parsed.value()["routers"])
        {
            if (entry.is_object() && entry.contains("address") &&
                entry["address"].is_string())
            {
                found.push_back(entry["address"].get<std::string>());
            }
        }
        return found;
    }
    return error{result_code::peer_unavailable, "locate",
                 "no router told the others"};
}

result<std::string> scraper::fetch(const std::string& address,
                                   const std::string& path)
{
    constexpr std::size_t most_bytes = 64U << 20U;
    constexpr int http_ok = 200;
    ports::upstream_request request;
    request.method = "GET";
    request.path = path;
    request.idle_timeout = std::chrono::seconds(5);
    std::string body;
    const ports::upstream_response_sink sink{
        [](const ports::upstream_response_head&) { return true; },
        [&body](std::string_view part)
        {
            body += part;
            return body.size() <= most_bytes;
        }};
    const result<ports::upstream_completion> end =
        m_caller.send(address, request, sink);
    if (!end)
    {
        return end.failure();
    }
    if (end.value().status != http_ok)
    {
        return error{result_code::peer_protocol, address,
                     fmt::format("answered {}", end.value().status)};
    }
    return body;
}

} // namespace turmeric::burn
