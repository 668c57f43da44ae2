#include "libraries/codecs/fleet/granted_totals_message.hpp"

#include "libraries/codecs/common/cbor_reader.hpp"
#include "libraries/core/json.hpp"

#include <algorithm>
#include <optional>

namespace turmeric::codecs
{

namespace
{

/// The elements of a message, in the order in which they are encoded.
enum element : std::size_t
{
    element_kind,
    element_sender,
    element_era,
    element_known_since,
    element_part,
    element_parts,
    element_totals,
    element_count,
};

/// The elements of a row of the totals.
enum row_element : std::size_t
{
    row_account,
    row_era,
    row_version,
    row_tokens,
    /// Used by earlier releases.
    row_reserved_rate,
    row_earlier_eras,
    row_element_count,
};

constexpr std::int64_t max_parts = 10'000;

std::optional<totals_message_kind> read_kind(const json& encoded)
{
    for (const totals_message_kind kind :
         {totals_message_kind::request, totals_message_kind::report,
          totals_message_kind::announcement})
    {
        if (encoded == static_cast<int>(kind))
        {
            return kind;
        }
    }
    return std::nullopt;
}

bool are_integers(const json& encoded, std::size_t first, std::size_t last)
{
    for (std::size_t index = first; index <= last; ++index)
    {
        if (!encoded[index].is_number_integer() ||
            encoded[index].get<std::int64_t>() < 0)
        {
            return false;
        }
    }
    return true;
}

std::optional<std::pair<std::string, domain::granted_total>>
read_row(const json& row)
{
    if (!row.is_array() || row.size() != row_element_count ||
        !row[row_account].is_string() ||
        !are_integers(row, row_era, row_tokens) ||
        !row[row_earlier_eras].is_array())
    {
        return std::nullopt;
    }
    const bool is_reserved = !row[row_reserved_rate].is_null();
    if (is_reserved && !are_integers(row, row_reserved_rate, row_reserved_rate))
    {
        return std::nullopt;
    }
    domain::granted_total total;
    total.at.era = row[row_era].get<std::int64_t>();
    total.at.version = row[row_version].get<std::int64_t>();
    total.tokens = row[row_tokens].get<std::int64_t>();
    for (const json& pair : row[row_earlier_eras])
    {
        if (!pair.is_array() || pair.size() != 2 || !are_integers(pair, 0, 1))
        {
            return std::nullopt;
        }
        total.earlier_eras[pair[0].get<std::int64_t>()] =
            pair[1].get<std::int64_t>();
    }
    return std::make_pair(row[row_account].get<std::string>(), total);
}

} // namespace

std::string write_totals_message(const granted_totals_message& message)
{
    json rows = json::array();
    for (const auto& [account, total] : message.totals)
    {
        json earlier_eras = json::array();
        for (const auto& [era, version] : total.earlier_eras)
        {
            earlier_eras.push_back(json::array({era, version}));
        }
        rows.push_back({account, total.at.era, total.at.version, total.tokens,
                        json(), earlier_eras});
    }
    const json encoded = {static_cast<int>(message.kind),
                          message.sender,
                          message.era,
                          message.known_since,
                          message.part,
                          message.parts,
                          rows};
    const std::vector<std::uint8_t> bytes = json::to_cbor(encoded);
    return std::string(bytes.begin(), bytes.end());
}

result<granted_totals_message> read_totals_message(std::string_view bytes)
{
    const error unreadable{result_code::peer_protocol, "granted totals",
                           "the granted totals of a peer are malformed"};
    const json encoded = read_cbor(bytes);
    if (!encoded.is_array() || encoded.size() != element_count)
    {
        return unreadable;
    }
    const std::optional<totals_message_kind> kind =
        read_kind(encoded[element_kind]);
    if (!kind || !encoded[element_sender].is_string() ||
        !are_integers(encoded, element_era, element_parts) ||
        !encoded[element_totals].is_array())
    {
        return unreadable;
    }
    granted_totals_message message;
    message.kind = *kind;
    message.sender = encoded[element_sender].get<std::string>();
    message.era = encoded[element_era].get<std::int64_t>();
    message.known_since = encoded[element_known_since].get<std::int64_t>();
    message.part = encoded[element_part].get<std::int64_t>();
    message.parts = encoded[element_parts].get<std::int64_t>();
    if (message.part >= message.parts || message.parts > max_parts)
    {
        return unreadable;
    }
    for (const json& row : encoded[element_totals])
    {
        std::optional<std::pair<std::string, domain::granted_total>> read =
            read_row(row);
        if (!read)
        {
            return unreadable;
        }
        message.totals.push_back(std::move(*read));
    }
    return message;
}

} // namespace turmeric::codecs
