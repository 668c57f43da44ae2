#include "libraries/codecs/fleet/spending_message.hpp"

#include "libraries/codecs/common/cbor_reader.hpp"
#include "libraries/core/json.hpp"

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
    element_reply_address,
    element_rows,
    element_count,
};

/// The elements of a row.
enum row_element : std::size_t
{
    row_incarnation,
    row_account,
    row_limit,
    row_borrowed,
    row_element_count,
};

std::optional<spending_message_kind> read_kind(const json& encoded)
{
    for (const spending_message_kind kind :
         {spending_message_kind::announcement,
          spending_message_kind::confirmation, spending_message_kind::inquiry,
          spending_message_kind::answer})
    {
        if (encoded == static_cast<int>(kind))
        {
            return kind;
        }
    }
    return std::nullopt;
}

bool is_count(const json& encoded)
{
    return encoded.is_number_integer() && encoded.get<std::int64_t>() >= 0;
}

std::optional<spending_row> read_row(const json& row)
{
    if (!row.is_array() || row.size() != row_element_count ||
        !row[row_incarnation].is_string() || !row[row_account].is_string() ||
        !is_count(row[row_limit]) || !is_count(row[row_borrowed]))
    {
        return std::nullopt;
    }
    return spending_row{row[row_incarnation].get<std::string>(),
                        row[row_account].get<std::string>(),
                        {row[row_limit].get<std::int64_t>(),
                         row[row_borrowed].get<std::int64_t>()}};
}

} // namespace

std::string write_spending_message(const spending_message& message)
{
    json rows = json::array();
    for (const spending_row& row : message.rows)
    {
        rows.push_back({row.incarnation, row.account, row.report.limit,
                        row.report.borrowed});
    }
    const json encoded = {static_cast<int>(message.kind), message.sender,
                          message.reply_address, std::move(rows)};
    const std::vector<std::uint8_t> bytes = json::to_cbor(encoded);
    return std::string(bytes.begin(), bytes.end());
}

result<spending_message> read_spending_message(std::string_view bytes)
{
    const error unreadable{result_code::peer_protocol, "spending message",
                           "the spending message of a peer is malformed"};
    const json encoded = read_cbor(bytes);
    if (!encoded.is_array() || encoded.size() != element_count)
    {
        return unreadable;
    }
    const std::optional<spending_message_kind> kind =
        read_kind(encoded[element_kind]);
    if (!kind || !encoded[element_sender].is_string() ||
        !encoded[element_reply_address].is_string() ||
        !encoded[element_rows].is_array())
    {
        return unreadable;
    }
    spending_message message;
    message.kind = *kind;
    message.sender = encoded[element_sender].get<std::string>();
    message.reply_address = encoded[element_reply_address].get<std::string>();
    for (const json& row : encoded[element_rows])
    {
        std::optional<spending_row> read = read_row(row);
        if (!read)
        {
            return unreadable;
        }
        message.rows.push_back(std::move(*read));
    }
    return message;
}

} // namespace turmeric::codecs
