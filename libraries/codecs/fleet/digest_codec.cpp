#include "libraries/codecs/fleet/digest_codec.hpp"

#include "libraries/codecs/common/cbor_reader.hpp"
#include "libraries/codecs/fleet/brittle_codec.hpp"
#include "libraries/codecs/fleet/rate_limit_codec.hpp"
#include "libraries/codecs/fleet/suspect_part_codec.hpp"
#include "libraries/core/json.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace turmeric::codecs
{

namespace
{

/// The version of the digest format. Digests of other versions are rejected.
constexpr std::int64_t format_version = 12;
/// Larger loads count as this one, so that the sum of all peers' stays in
/// range. Callers' token counts add up to such loads.
constexpr std::int64_t max_load = 1'000'000'000'000;

/// Longer ages are written and read as this one.
constexpr std::int64_t max_contact_age_ms = 60'000;

error unreadable_digest(const char* field)
{
    return {result_code::peer_protocol, field,
            "the digest of a peer is malformed or of another version",
            outcome::not_run};
}

/// Reads the integer at `index` of an array; returns false if there is none.
bool read_number(const json& row, std::size_t index, std::int64_t& number)
{
    if (!row.is_array() || row.size() <= index ||
        !row[index].is_number_integer())
    {
        return false;
    }
    number = row[index].get<std::int64_t>();
    return true;
}

std::int64_t age_of(ports::steady_time at, ports::steady_time now)
{
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - at);
    return std::clamp<std::int64_t>(age.count(), 0, max_contact_age_ms);
}

/// Writes the ages of the first and the last answer in ms, or nothing.
json write_contact(const std::optional<domain::contact_span>& span,
                   ports::steady_time now)
{
    json ages = json::array();
    if (span)
    {
        ages = {age_of(span->first, now), age_of(span->last, now)};
    }
    return ages;
}

/// Returns false if the ages are malformed.
bool read_contact(const json& ages, ports::steady_time now,
                  std::optional<domain::contact_span>& span)
{
    if (ages.is_array() && ages.empty())
    {
        return true;
    }
    std::int64_t first_age = 0;
    std::int64_t last_age = 0;
    if (!read_number(ages, 0, first_age) || !read_number(ages, 1, last_age) ||
        last_age < 0 || first_age < last_age || first_age > max_contact_age_ms)
    {
        return false;
    }
    span = domain::contact_span{now - std::chrono::milliseconds(first_age),
                                now - std::chrono::milliseconds(last_age)};
    return true;
}

} // namespace

std::string write_digest(const peer_digest& digest, ports::steady_time now)
{
    json load = json::object();
    for (const auto& [id, reported_load] : digest.load)
    {
        load[id] = {reported_load.requests, reported_load.unread_tokens};
    }
    json accounts = json::object();
    for (const auto& [name, account] : digest.accounts)
    {
        accounts[name] = {account.used, account.held, account.free,
                          account.rate};
    }
    json encoded = {format_version,
                    digest.incarnation,
                    digest.sequence,
                    digest.configuration_version,
                    digest.is_leaving,
                    digest.is_store_unavailable,
                    std::move(load),
                    std::move(accounts),
                    write_suspect_parts(digest.observations.suspect_parts, now),
                    write_rate_limits(digest.observations.rate_limits, now),
                    digest.cut_off_services,
                    write_brittle(digest.observations.brittle, now),
                    write_contact(digest.store_contact, now)};
    // Releases that do not know this element reject the digest, and name the
    // router to no caller either.
    if (digest.is_overloaded)
    {
        encoded.push_back(true);
    }
    const std::vector<std::uint8_t> bytes = json::to_cbor(encoded);
    return std::string(bytes.begin(), bytes.end());
}

result<peer_digest> read_digest(std::string_view bytes, ports::steady_time now)
{
    constexpr std::size_t element_count = 13;
    constexpr std::size_t overloaded_count = element_count + 1;
    const json encoded = read_cbor(bytes);
    std::int64_t received_version = 0;
    const bool is_overloaded = encoded.is_array() &&
                               encoded.size() == overloaded_count &&
                               encoded[element_count] == true;
    if (!encoded.is_array() ||
        (encoded.size() != element_count && !is_overloaded) ||
        !read_number(encoded, 0, received_version) ||
        received_version != format_version)
    {
        return unreadable_digest("form");
    }
    peer_digest digest;
    if (!encoded[1].is_string() || !read_number(encoded, 2, digest.sequence) ||
        !read_number(encoded, 3, digest.configuration_version) ||
        !encoded[4].is_boolean() || !encoded[5].is_boolean() ||
        !encoded[6].is_object() || !encoded[7].is_object() ||
        !encoded[10].is_array())
    {
        return unreadable_digest("fields");
    }
    digest.incarnation = encoded[1].get<std::string>();
    digest.is_leaving = encoded[4].get<bool>();
    digest.is_store_unavailable = encoded[5].get<bool>();
    for (const auto& [id, row] : encoded[6].items())
    {
        domain::upstream_load load;
        if (!read_number(row, 0, load.requests) ||
            !read_number(row, 1, load.unread_tokens) || load.requests < 0 ||
            load.unread_tokens < 0)
        {
            return unreadable_digest("load");
        }
        load.requests = std::min(load.requests, max_load);
        load.unread_tokens = std::min(load.unread_tokens, max_load);
        digest.load.emplace(id, load);
    }
    for (const auto& [name, row] : encoded[7].items())
    {
        peer_account_tokens account;
        if (!read_number(row, 0, account.used) ||
            !read_number(row, 1, account.held) ||
            !read_number(row, 2, account.free) ||
            !read_number(row, 3, account.rate))
        {
            return unreadable_digest("accounts");
        }
        digest.accounts.emplace(name, account);
    }
    result<std::vector<domain::suspect_part>> suspect_parts =
        read_suspect_parts(encoded[8], now);
    if (!suspect_parts)
    {
        return suspect_parts.failure();
    }
    result<std::vector<domain::named_rate_limit>> rate_limits =
        read_rate_limits(encoded[9], now);
    if (!rate_limits)
    {
        return rate_limits.failure();
    }
    for (const json& service : encoded[10])
    {
        if (!service.is_string())
        {
            return unreadable_digest("cut_off_services");
        }
        digest.cut_off_services.insert(service.get<std::string>());
    }
    result<std::vector<domain::brittle_observation>> brittle =
        read_brittle(encoded[11], now);
    if (!brittle)
    {
        return brittle.failure();
    }
    if (!read_contact(encoded[12], now, digest.store_contact))
    {
        return unreadable_digest("store_contact");
    }
    digest.is_overloaded = is_overloaded;
    digest.observations.brittle = std::move(brittle.value());
    digest.observations.suspect_parts = std::move(suspect_parts.value());
    digest.observations.rate_limits = std::move(rate_limits.value());
    return digest;
}

} // namespace turmeric::codecs
