#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/move/evidence_message.hpp"

#include <string>
#include <string_view>

namespace turmeric::codecs
{

/// The kind of peer message that carries these requests and responses.
inline constexpr std::string_view evidence_message_kind = "evidence";

/// Encodes a request as a message body. Thread safe.
[[nodiscard]] std::string encode(const domain::evidence_request& request);

/// Encodes a response as a message body. Thread safe.
[[nodiscard]] std::string encode(const domain::evidence_response& response);

/// Decodes a request. Errors: `peer_protocol` with the path of the first
/// missing or invalid field. Thread safe.
result<domain::evidence_request> decode_evidence_request(std::string_view text);

/// Decodes a response. Errors: `peer_protocol` with the path of the first
/// missing or invalid field; a negative count and more hits than trials are
/// invalid. Thread safe.
result<domain::evidence_response>
decode_evidence_response(std::string_view text);

} // namespace turmeric::codecs
