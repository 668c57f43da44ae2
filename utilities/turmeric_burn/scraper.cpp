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
        const result<std::string> body = fetch(router, "/metrics");
        if (body)
        {
            const auto lines = codecs::parse_metrics(body.value());
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
        const result<std::string> body = fetch(router, "/v1/routers");
        if (!body)
        {
            continue;
        }
        const result<json> parsed = codecs::parse_json(
            body.value(), result_code::peer_protocol, "routers");
        if (!parsed || !parsed.value().contains("routers"))
        {
            continue;
        }
        std::vector<std::string> addresses;
        for (const json& entry : parsed.value()["routers"])
        {
            if (entry.is_object() && entry.contains("address") &&
                entry["address"].is_string())
            {
                addresses.push_back(entry["address"].get<std::string>());
            }
        }
        return addresses;
    }
    return error{result_code::peer_unavailable, "locate",
                 "no router returned a list of routers"};
}

result<std::string> scraper::fetch(const std::string& address,
                                   const std::string& path)
{
    constexpr std::size_t max_body_bytes = 64U << 20U;
    constexpr int http_ok = 200;
    ports::upstream_request request;
    request.method = "GET";
    request.path = path;
    request.idle_timeout = std::chrono::seconds(5);
    std::string body;
    const ports::upstream_response_sink sink{
        [](const ports::upstream_response_head&) { return true; },
        [&body](std::string_view piece)
        {
            body += piece;
            return body.size() <= max_body_bytes;
        }};
    const result<ports::upstream_completion> completion =
        m_caller.send(address, request, sink);
    if (!completion)
    {
        return completion.failure();
    }
    if (completion.value().status != http_ok)
    {
        return error{result_code::peer_protocol, address,
                     fmt::format("responded with HTTP status {}",
                                 completion.value().status)};
    }
    return body;
}

} // namespace turmeric::burn
