#include "libraries/codecs/fleet/prepaid_record_codec.hpp"

#include "libraries/codecs/common/json_reader.hpp"

#include <charconv>
#include <functional>
#include <optional>
#include <utility>

namespace turmeric::codecs
{

namespace
{

/// In tokens per second; far beyond what a fleet can consume.
constexpr std::int64_t max_rate = 1'000'000'000'000;

/// Reads an object whose members are integers. Returns false if it is not one.
bool read_integers(
    const json& encoded,
    const std::function<bool(const std::string&, std::int64_t)>& add)
{
    if (!encoded.is_object())
    {
        return false;
    }
    for (const auto& [name, value] : encoded.items())
    {
        if (!value.is_number_integer() || !add(name, value.get<std::int64_t>()))
        {
            return false;
        }
    }
    return true;
}

/// Reads the eras, which records of older releases do not have.
bool read_eras(const json& encoded, domain::prepaid_record& record)
{
    const auto version = encoded.find("version");
    const auto eras = encoded.find("restored_from");
    if (version == encoded.end() && eras == encoded.end())
    {
        return true;
    }
    if (version == encoded.end() || !version->is_number_integer() ||
        eras == encoded.end())
    {
        return false;
    }
    record.version = version->get<std::int64_t>();
    return read_integers(*eras,
                         [&](const std::string& name, std::int64_t value)
                         {
                             std::int64_t era = 0;
                             const char* const end = name.data() + name.size();
                             const auto [rest, failure] =
                                 std::from_chars(name.data(), end, era);
                             record.restored_from[era] = value;
                             return failure == std::errc() && rest == end;
                         });
}

/// Reads a rate in tokens per second into `rate`, which stays as it is if the
/// record does not have it, as those of older releases. Returns false if it is
/// malformed.
bool read_rate(const json& encoded, const char* name,
               std::optional<std::int64_t>& rate)
{
    const auto found = encoded.find(name);
    if (found == encoded.end())
    {
        return true;
    }
    if (!found->is_number_integer() || *found < 0 || *found > max_rate)
    {
        return false;
    }
    rate = found->get<std::int64_t>();
    return true;
}

/// Writes the ceiling; without one, the record is as of earlier releases.
void write_ceiling(json& encoded, const domain::grant_ceiling& ceiling)
{
    if (ceiling == domain::grant_ceiling{})
    {
        return;
    }
    json members = {{"next_since_version", ceiling.next_since_version}};
    if (ceiling.now)
    {
        members["now"] = *ceiling.now;
    }
    if (ceiling.next)
    {
        members["next"] = *ceiling.next;
    }
    encoded["ceiling"] = std::move(members);
}

/// Reads the ceiling, which records of earlier releases do not have. Returns
/// false if it is malformed.
bool read_ceiling(const json& encoded, domain::grant_ceiling& ceiling)
{
    const auto members = encoded.find("ceiling");
    if (members == encoded.end())
    {
        return true;
    }
    return read_integers(*members,
                         [&](const std::string& name, std::int64_t value)
                         {
                             if (name == "now")
                             {
                                 ceiling.now = value;
                             }
                             else if (name == "next")
                             {
                                 ceiling.next = value;
                             }
                             else if (name == "next_since_version")
                             {
                                 ceiling.next_since_version = value;
                             }
                             return value >= 0;
                         });
}

} // namespace

std::string write_prepaid_record(const domain::prepaid_record& record)
{
    json encoded = {{"granted_in_all", record.granted_in_all},
                    {"granted_to", json(record.granted_to)},
                    {"version", record.version},
                    {"restored_from", json::object()},
                    {"tokens_per_second", record.tokens_per_second}};
    if (record.granted_to.empty())
    {
        encoded["granted_to"] = json::object();
    }
    write_ceiling(encoded, record.ceiling);
    for (const auto& [era, version] : record.restored_from)
    {
        encoded["restored_from"][std::to_string(era)] = version;
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
    const bool has_grants =
        read_integers(*rows,
                      [&](const std::string& incarnation, std::int64_t granted)
                      {
                          record.granted_to.emplace(incarnation, granted);
                          return true;
                      });
    if (!has_grants)
    {
        return error{result_code::corrupt_value, "granted_to",
                     "a grant is not an integer"};
    }
    if (!read_eras(encoded, record))
    {
        return error{result_code::corrupt_value, "restored_from",
                     "an earlier era of the prepaid record is malformed"};
    }
    if (!read_ceiling(encoded, record.ceiling))
    {
        return error{result_code::corrupt_value, "ceiling",
                     "the ceiling of the prepaid record is malformed"};
    }
    std::optional<std::int64_t> rate;
    if (!read_rate(encoded, "tokens_per_second", rate))
    {
        return error{result_code::corrupt_value, "tokens_per_second",
                     "a rate of the prepaid record is malformed"};
    }
    record.tokens_per_second = rate.value_or(0);
    return record;
}

} // namespace turmeric::codecs
