#include "services/entry/internal_request_handler.hpp"

#include <utility>

namespace turmeric::entry
{

namespace
{

constexpr int status_ok = 200;
constexpr int status_not_found = 404;

} // namespace

internal_request_handler::internal_request_handler(
    const metrics::registry& registry,
    std::function<std::string()> configuration_text)
    : m_registry(registry)
    , m_configuration_text(std::move(configuration_text))
{
}

std::shared_ptr<ports::exchange_in_flight>
internal_request_handler::accept(ports::received_request request,
                                 std::shared_ptr<ports::caller_channel> channel)
{
    const std::string& target = request.head.target;
    if (target == "/metrics")
    {
        channel->send_response(
            {status_ok,
             "OK",
             {{"Content-Type", metrics::registry::content_type}}},
            m_registry.render());
        return nullptr;
    }
    std::string text;
    if (target == configuration_path)
    {
        text = m_configuration_text();
    }
    if (text.empty())
    {
        channel->send_response({status_not_found, "Not Found", {}}, "");
        return nullptr;
    }
    channel->send_response({status_ok, "OK", {}}, std::move(text));
    return nullptr;
}

} // namespace turmeric::entry
