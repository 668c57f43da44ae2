#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/prepaid/spending_report.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace turmeric::codecs
{

/// The kinds of messages about the spending of prepaid tokens.
enum class spending_message_kind : std::uint8_t
{
    /// `sender` announces its spending to a witness.
    announcement = 7,
    /// A witness repeats the rows that it remembers now.
    confirmation = 8,
    /// `sender` asks a witness for what earlier incarnations on its VM have
    /// announced. The reports in the rows have no meaning.
    inquiry = 9,
    /// A witness answers an inquiry with the rows that it knows.
    answer = 10,
};

/// What one incarnation has announced of one account.
struct spending_row
{
    std::string incarnation;
    std::string account;
    domain::spending_report report = {};
};

/// A message between a router and a witness of its spending. Routers of builds
/// without it ignore it, so they are never witnesses.
struct spending_message
{
    spending_message_kind kind = spending_message_kind::announcement;
    std::string sender;
    /// Where the reply is sent. A router that has just started is not known
    /// to all peers yet.
    std::string reply_address;
    std::vector<spending_row> rows;
};

/// Encodes a message as CBOR. Thread safe.
[[nodiscard]] std::string
write_spending_message(const spending_message& message);

/// Decodes a message. Errors: `peer_protocol`, also if the bytes are another
/// message. Thread safe.
[[nodiscard]] result<spending_message>
read_spending_message(std::string_view bytes);

} // namespace turmeric::codecs
