#include "libraries/adapters/etcd/etcd_errors.hpp"

#include "libraries/codecs/common/json_reader.hpp"

#include <array>
#include <string_view>

namespace turmeric::adapters
{

namespace
{

/// A refusal that the service makes before a call has any effect.
struct refusal_row
{
    std::string_view message;
    result_code code;
};

constexpr std::array refusal_table = {
    refusal_row{"requested lease not found", result_code::lease_lost},
    refusal_row{"request is too large", result_code::platform_value_too_large},
    refusal_row{"too many requests", result_code::platform_rate_limited},
    refusal_row{"no leader", result_code::platform_unavailable},
};

std::string message_of(const std::string& body)
{
    result<json> parsed =
        codecs::parse_json(body, result_code::platform_unavailable, "reply");
    if (!parsed || !parsed.value().is_object())
    {
        return {};
    }
    const auto text = parsed.value().find("error");
    if (text == parsed.value().end() || !text->is_string())
    {
        return {};
    }
    return text->get<std::string>();
}

} // namespace

error map_etcd_refusal(etcd_call_kind kind, int http_status,
                       const std::string& body)
{
    constexpr int too_many_requests = 429;
    constexpr int first_server_fault = 500;
    constexpr std::chrono::milliseconds pause{100};
    const std::string message = message_of(body);
    for (const refusal_row& row : refusal_table)
    {
        if (message.find(row.message) != std::string::npos)
        {
            return error{row.code, "", message};
        }
    }
    const std::string detail =
        "the key-value service answered " + std::to_string(http_status);
    if (http_status == too_many_requests)
    {
        return error{result_code::platform_rate_limited, "", detail,
                     outcome::not_run, pause};
    }
    if (http_status >= first_server_fault && kind == etcd_call_kind::write)
    {
        return error{result_code::platform_outcome_unknown, "", detail,
                     outcome::outcome_unknown};
    }
    return error{result_code::platform_unavailable, "", detail};
}

} // namespace turmeric::adapters
