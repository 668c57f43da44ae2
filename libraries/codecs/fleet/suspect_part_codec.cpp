#include "libraries/codecs/fleet/suspect_part_codec.hpp"

#include "libraries/codecs/fleet/time_age.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace turmeric::codecs
{

namespace
{

/// Peers never report more.
constexpr std::size_t max_parts = 256;
constexpr std::size_t max_ends = 64;
/// Higher counts are cut to this one.
constexpr std::int64_t max_trials = 1'000;
/// The age of a time that is not set.
constexpr std::int64_t no_age = -1;

bool read_ends(const json& encoded, ports::steady_time now,
               std::vector<domain::observed_end>& ends)
{
    if (!encoded.is_array() || encoded.size() > max_ends)
    {
        return false;
    }
    for (const json& row : encoded)
    {
        constexpr std::size_t element_count = 3;
        if (!row.is_array() || row.size() != element_count ||
            !row[0].is_number_unsigned())
        {
            return false;
        }
        const std::optional<ports::steady_time> at = read_age(row[1], now);
        const std::optional<ports::steady_time> output_at =
            read_age(row[2], now);
        if (!at || !output_at)
        {
            return false;
        }
        ends.push_back({row[0].get<std::uint64_t>(), *at, *output_at});
    }
    return true;
}

std::optional<domain::suspect_part> read_part(const json& row,
                                              ports::steady_time now)
{
    constexpr std::size_t element_count = 6;
    if (!row.is_array() || row.size() != element_count ||
        !row[0].is_number_unsigned() || !row[2].is_number_integer() ||
        !row[4].is_number_integer() || !row[5].is_boolean())
    {
        return std::nullopt;
    }
    domain::suspect_part part;
    part.id = {row[5].get<bool>() ? domain::suspect_kind::request
                                  : domain::suspect_kind::prompt_part,
               row[0].get<std::uint64_t>()};
    part.cleared_at = read_age(row[2], now);
    part.trials = static_cast<std::int32_t>(
        std::clamp<std::int64_t>(row[4].get<std::int64_t>(), 0, max_trials));
    const std::optional<ports::steady_time> last_seen = read_age(row[3], now);
    const bool is_clearance_valid =
        part.cleared_at || row[2].get<std::int64_t>() == no_age;
    if (!last_seen || !is_clearance_valid || !read_ends(row[1], now, part.ends))
    {
        return std::nullopt;
    }
    part.last_seen = *last_seen;
    return part;
}

} // namespace

json write_suspect_parts(const std::vector<domain::suspect_part>& parts,
                         ports::steady_time now)
{
    json rows = json::array();
    for (const domain::suspect_part& part : parts)
    {
        json ends = json::array();
        for (const domain::observed_end& end : part.ends)
        {
            ends.push_back(json::array({end.incarnation, age_of(end.at, now),
                                        age_of(end.output_at, now)}));
        }
        rows.push_back(json::array(
            {part.id.value, std::move(ends),
             part.cleared_at ? age_of(*part.cleared_at, now) : no_age,
             age_of(part.last_seen, now), part.trials,
             part.id.kind == domain::suspect_kind::request}));
    }
    return rows;
}

result<std::vector<domain::suspect_part>>
read_suspect_parts(const json& encoded, ports::steady_time now)
{
    const error unreadable{result_code::peer_protocol, "suspects",
                           "the suspect parts of a peer are malformed",
                           outcome::not_run};
    if (!encoded.is_array() || encoded.size() > max_parts)
    {
        return unreadable;
    }
    std::vector<domain::suspect_part> parts;
    for (const json& row : encoded)
    {
        std::optional<domain::suspect_part> part = read_part(row, now);
        if (!part)
        {
            return unreadable;
        }
        parts.push_back(std::move(*part));
    }
    return parts;
}

} // namespace turmeric::codecs
