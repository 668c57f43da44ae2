#include "libraries/codecs/fleet/brittle_codec.hpp"

#include "libraries/codecs/fleet/time_age.hpp"

#include <utility>

namespace turmeric::codecs
{

namespace
{

/// Peers never report more.
constexpr std::size_t max_observations = 256;

std::optional<domain::brittle_observation>
read_observation(const json& row, ports::steady_time now)
{
    constexpr std::size_t element_count = 4;
    if (!row.is_array() || row.size() != element_count ||
        !row[0].is_number_unsigned())
    {
        return std::nullopt;
    }
    domain::brittle_observation read;
    read.incarnation = row[0].get<std::uint64_t>();
    const std::optional<ports::steady_time> observed_at = read_age(row[2], now);
    if (!observed_at)
    {
        return std::nullopt;
    }
    read.observed_at = *observed_at;
    if (!row[1].is_null())
    {
        if (!row[1].is_number_integer() || row[1].get<std::int64_t>() < 0)
        {
            return std::nullopt;
        }
        read.max_rejections = row[1].get<std::int64_t>();
    }
    if (!row[3].is_null())
    {
        read.rejected_at = read_age(row[3], now);
        if (!read.rejected_at)
        {
            return std::nullopt;
        }
    }
    return read;
}

} // namespace

json write_brittle(const std::vector<domain::brittle_observation>& observed,
                   ports::steady_time now)
{
    json rows = json::array();
    for (const domain::brittle_observation& one : observed)
    {
        rows.push_back(json::array(
            {one.incarnation,
             one.max_rejections ? json(*one.max_rejections) : json(nullptr),
             age_of(one.observed_at, now),
             one.rejected_at ? json(age_of(*one.rejected_at, now))
                             : json(nullptr)}));
    }
    return rows;
}

result<std::vector<domain::brittle_observation>>
read_brittle(const json& encoded, ports::steady_time now)
{
    const error unreadable{result_code::peer_protocol, "brittle",
                           "the brittle upstreams of a peer are malformed",
                           outcome::not_run};
    if (!encoded.is_array() || encoded.size() > max_observations)
    {
        return unreadable;
    }
    std::vector<domain::brittle_observation> observed;
    for (const json& row : encoded)
    {
        std::optional<domain::brittle_observation> one =
            read_observation(row, now);
        if (!one)
        {
            return unreadable;
        }
        observed.push_back(*one);
    }
    return observed;
}

} // namespace turmeric::codecs
