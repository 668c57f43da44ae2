#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/move/evidence_message.hpp"

#include <string>
#include <string_view>

namespace turmeric::codecs
{

/// The peer message kind of these messages.
inline constexpr std::string_view evidence_message_kind = "evidence";

/// Returns the message's body. Thread safe.
[[nodiscard]] std::string encode(const domain::evidence_request& request);

/// Returns the message's body. Thread safe.
[[nodiscard]] std::string encode(const domain::evidence_response& response);

/// Reads a body; `peer_protocol` with the field at fault. Thread safe.
result<domain::evidence_request> decode_evidence_request(std::string_view text);

/// Reads a body; `peer_protocol` with the field at fault. Counts that are
/// negative or have more hits than trials are faults. Thread safe.
result<domain::evidence_response>
decode_evidence_response(std::string_view text);

} // namespace turmeric::codecs
