#include "libraries/codecs/fleet/prepaid_record_codec.hpp"

#include "libraries/codecs/common/json_reader.hpp"

namespace turmeric::codecs
{

std::string write_prepaid_record(const domain::prepaid_record& record)
{
    json encoded = {{"granted_in_all", record.granted_in_all},
                    {"granted_to", json::object()}};
    for (const auto& [incarnation, granted] : record.granted_to)
    {
        encoded["granted_to"][incarnation] = granted;
    }
    return encoded.dump();
}

result<domain::prepaid_record> read_prepaid_record(std::string_view text)
{
    const result<json> parsed =
        parse_json(text, result_code::corrupt_value, "prepaid record");
    if (!parsed)
    {
        return parsed.failure();
    }
    const json& encoded = parsed.value();
    const auto total = encoded.find("granted_in_all");
    const auto rows = encoded.find("granted_to");
    if (!encoded.is_object() || total == encoded.end() ||
        !total->is_number_integer() || rows == encoded.end() ||
        !rows->is_object())
    {
        return error{result_code::corrupt_value, "granted_in_all",
                     "a field of the prepaid record is missing or malformed"};
    }
    domain::prepaid_record record;
    record.granted_in_all = total->get<std::int64_t>();
    for (const auto& [incarnation, granted] : rows->items())
    {
        if (!granted.is_number_integer())
        {
            return error{result_code::corrupt_value, "granted_to",
                         "a grant is not an integer"};
        }
        record.granted_to.emplace(incarnation, granted.get<std::int64_t>());
    }
    return record;
}

} // namespace turmeric::codecs
