#include "libraries/adapters/httplib/http_types.hpp"

#include "libraries/core/json.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <strings.h>

namespace turmeric::adapters
{

std::string http_request::header(std::string_view name) const
{
    for (const std::pair<std::string, std::string>& entry : headers)
    {
        if (entry.first.size() == name.size() &&
            ::strncasecmp(entry.first.data(), name.data(), name.size()) == 0)
        {
            return entry.second;
        }
    }
    return {};
}

http_reply make_problem(const error& failure)
{
    http_reply reply;
    reply.status = http_status_of(failure.code);
    reply.content_type = "application/problem+json";
    json body = {{"type", fmt::format("urn:turmericfront:result:{}",
                                      static_cast<int>(failure.code))},
                 {"title", name_of(failure.code)},
                 {"status", reply.status},
                 {"code", static_cast<int>(failure.code)},
                 {"detail", failure.detail},
                 {"outcome", name_of(failure.effect)}};
    if (!failure.field.empty())
    {
        body["field"] = failure.field;
    }
    if (failure.retry_after)
    {
        auto whole_seconds =
            std::chrono::ceil<std::chrono::seconds>(*failure.retry_after);
        reply.headers.emplace_back("Retry-After",
                                   std::to_string(whole_seconds.count()));
    }
    constexpr int compact = -1;
    reply.body = body.dump(compact, ' ', false, json::error_handler_t::replace);
    return reply;
}

http_reply make_json_reply(int status, std::string body)
{
    http_reply reply;
    reply.status = status;
    reply.content_type = "application/json";
    reply.body = std::move(body);
    return reply;
}

} // namespace turmeric::adapters
