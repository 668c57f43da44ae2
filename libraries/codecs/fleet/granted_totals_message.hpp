#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/prepaid/granted_totals.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace turmeric::codecs
{

/// The kinds of messages about granted totals.
enum class totals_message_kind : std::uint8_t
{
    /// `sender` requests the totals that the receiver knows.
    request = 4,
    /// All totals that `sender` knows, in several parts if they are many.
    report = 5,
    /// The totals after a change of `sender`.
    announcement = 6,
};

/// A message between two routers about the tokens that the store has granted.
struct granted_totals_message
{
    totals_message_kind kind = totals_message_kind::request;
    std::string sender;
    /// The latest era of the store that the sender knows. It has accepted no
    /// grant of an earlier era since.
    std::int64_t era = 0;
    /// The earliest era whose latest totals the sender knows; 0 if none.
    std::int64_t known_since = 0;
    /// The number of this part, from 0, and the number of all parts.
    std::int64_t part = 0;
    std::int64_t parts = 1;
    /// By account.
    std::vector<std::pair<std::string, domain::granted_total>> totals;
};

/// Encodes a message as CBOR. Thread safe.
[[nodiscard]] std::string
write_totals_message(const granted_totals_message& message);

/// Decodes a message. Errors: `peer_protocol`, also if the bytes are another
/// message. Thread safe.
[[nodiscard]] result<granted_totals_message>
read_totals_message(std::string_view bytes);

} // namespace turmeric::codecs
