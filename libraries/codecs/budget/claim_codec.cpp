#include "libraries/codecs/budget/claim_codec.hpp"

#include "libraries/codecs/common/json_reader.hpp"

namespace turmeric::codecs
{

std::string encode_claim(const domain::claim_value& claim)
{
    json value;
    value["incarnation"] = claim.incarnation;
    value["attempt"] = claim.attempt;
    value["kept_until"] = claim.kept_until.time_since_epoch().count();
    return value.dump();
}

result<domain::claim_value> decode_claim(std::string_view text)
{
    result<json> parsed = parse_json(text, result_code::corrupt_value, "claim");
    if (!parsed)
    {
        return parsed.failure();
    }
    const json& value = parsed.value();
    const bool has_all_fields =
        value.is_object() && value.contains("incarnation") &&
        value["incarnation"].is_string() && value.contains("attempt") &&
        value["attempt"].is_number_integer() && value.contains("kept_until") &&
        value["kept_until"].is_number_integer();
    if (!has_all_fields)
    {
        return error{result_code::corrupt_value, "claim",
                     "a field of the stored claim is missing or malformed"};
    }
    domain::claim_value claim;
    claim.incarnation = value["incarnation"].get<std::string>();
    claim.attempt = value["attempt"].get<std::int64_t>();
    claim.kept_until = domain::sys_seconds(
        std::chrono::seconds(value["kept_until"].get<std::int64_t>()));
    return claim;
}

} // namespace turmeric::codecs
