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

http_response make_problem(const error& failure)
{
    http_response response;
    response.status = http_status_of(failure.code);
    response.content_type = "application/problem+json";
    json body = {{"type", fmt::format("urn:turmericfront:result:{}",
                                      static_cast<int>(failure.code))},
                 {"title", name_of(failure.code)},
                 {"status", response.status},
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
        response.headers.emplace_back("Retry-After",
                                      std::to_string(whole_seconds.count()));
    }
    constexpr int compact = -1;
    response.body =
        body.dump(compact, ' ', false, json::error_handler_t::replace);
    return response;
}

http_response make_json_response(int status, std::string body)
{
    http_response response;
    response.status = status;
    response.content_type = "application/json";
    response.body = std::move(body);
    return response;
}

} // namespace turmeric::adapters
