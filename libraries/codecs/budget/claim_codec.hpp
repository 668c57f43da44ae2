#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/claim/claim_attempt.hpp"

#include <string>
#include <string_view>

namespace turmeric::codecs
{

/// Encodes a claim as JSON. Thread safe.
[[nodiscard]] std::string encode_claim(const domain::claim_value& claim);

/// Decodes the text that `encode_claim` returns. Thread safe.
///
/// Errors: `corrupt_value`.
result<domain::claim_value> decode_claim(std::string_view text);

} // namespace turmeric::codecs
