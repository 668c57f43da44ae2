#include "libraries/codecs/fleet/rate_limit_codec.hpp"

#include "libraries/codecs/fleet/time_age.hpp"

#include <cmath>
#include <utility>

namespace turmeric::codecs
{

namespace
{

/// Peers never report more.
constexpr std::size_t max_limits = 256;

std::optional<domain::named_rate_limit> read_limit(const json& row,
                                                   ports::steady_time now)
{
    constexpr std::size_t element_count = 3;
    if (!row.is_array() || row.size() != element_count ||
        !row[0].is_number_unsigned())
    {
        return std::nullopt;
    }
    domain::named_rate_limit limit;
    limit.incarnation = row[0].get<std::uint64_t>();
    const std::optional<ports::steady_time> observed_at = read_age(row[2], now);
    if (!observed_at)
    {
        return std::nullopt;
    }
    limit.observed_at = *observed_at;
    if (row[1].is_null())
    {
        return limit;
    }
    if (!row[1].is_number() || !std::isfinite(row[1].get<double>()) ||
        row[1].get<double>() < 0)
    {
        return std::nullopt;
    }
    limit.per_second = row[1].get<double>();
    return limit;
}

} // namespace

json write_rate_limits(const std::vector<domain::named_rate_limit>& limits,
                       ports::steady_time now)
{
    json rows = json::array();
    for (const domain::named_rate_limit& limit : limits)
    {
        rows.push_back(json::array(
            {limit.incarnation,
             limit.per_second ? json(*limit.per_second) : json(nullptr),
             age_of(limit.observed_at, now)}));
    }
    return rows;
}

result<std::vector<domain::named_rate_limit>>
read_rate_limits(const json& encoded, ports::steady_time now)
{
    const error unreadable{result_code::peer_protocol, "limits",
                           "the rate limits of a peer are malformed",
                           outcome::not_run};
    if (!encoded.is_array() || encoded.size() > max_limits)
    {
        return unreadable;
    }
    std::vector<domain::named_rate_limit> limits;
    for (const json& row : encoded)
    {
        std::optional<domain::named_rate_limit> limit = read_limit(row, now);
        if (!limit)
        {
            return unreadable;
        }
        limits.push_back(*limit);
    }
    return limits;
}

} // namespace turmeric::codecs
