#include "libraries/adapters/etcd/etcd_errors.hpp"

#include "libraries/codecs/common/json_reader.hpp"

#include <array>
#include <string_view>

namespace turmeric::adapters
{

namespace
{

/// Maps an error message with which the service refuses a call before the call
/// has any effect.
struct error_mapping
{
    std::string_view message;
    result_code code;
};

constexpr std::array error_mappings = {
    error_mapping{"requested lease not found", result_code::lease_lost},
    error_mapping{"request is too large",
                  result_code::platform_value_too_large},
    error_mapping{"too many requests", result_code::platform_rate_limited},
    error_mapping{"no leader", result_code::platform_unavailable},
};

std::string error_message_of(const std::string& body)
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

error map_etcd_error_response(etcd_call_kind kind, int http_status,
                              const std::string& body)
{
    constexpr int too_many_requests = 429;
    constexpr int first_server_error = 500;
    constexpr std::chrono::milliseconds retry_after{100};
    const std::string message = error_message_of(body);
    for (const error_mapping& mapping : error_mappings)
    {
        if (message.find(mapping.message) != std::string::npos)
        {
            return error{mapping.code, "", message};
        }
    }
    const std::string detail =
        "the key-value service responded with HTTP status " +
        std::to_string(http_status);
    if (http_status == too_many_requests)
    {
        return error{result_code::platform_rate_limited, "", detail,
                     outcome::not_run, retry_after};
    }
    if (http_status >= first_server_error && kind == etcd_call_kind::write)
    {
        return error{result_code::platform_outcome_unknown, "", detail,
                     outcome::outcome_unknown};
    }
    return error{result_code::platform_unavailable, "", detail};
}

} // namespace turmeric::adapters
