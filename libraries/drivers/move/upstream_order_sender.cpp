#include "libraries/drivers/move/upstream_order_sender.hpp"

#include "libraries/core/json.hpp"

#include <fmt/format.h>

namespace turmeric::drivers
{

upstream_order_sender::upstream_order_sender(ports::upstream_caller& caller)
    : m_caller(caller)
{
}

status upstream_order_sender::send(const std::string& address,
                                   const ports::upstream_order& order,
                                   std::chrono::milliseconds timeout)
{
    constexpr int http_conflict = 409;
    ports::upstream_request request;
    request.method = "POST";
    request.path = "/v1/orders";
    request.content_type = "application/json";
    request.body = json{{"action", name_of(order.kind)},
                        {"version", order.version},
                        {"fencing", order.fencing}}
                       .dump();
    request.idle_timeout = timeout;
    const ports::upstream_response_sink sink{
        [](const ports::upstream_response_head&) { return true; },
        [](std::string_view) { return true; }};
    const result<ports::upstream_completion> end =
        m_caller.send(address, request, sink);
    if (!end)
    {
        return end.failure();
    }
    const int code = end.value().status;
    if (code >= 200 && code < 300)
    {
        return success();
    }
    const result_code failure_code = code == http_conflict
                                         ? result_code::upstream_refused_order
                                         : result_code::upstream_failed;
    return error{failure_code, address,
                 fmt::format("responded with HTTP status {}", code)};
}

} // namespace turmeric::drivers
