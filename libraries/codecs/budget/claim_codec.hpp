#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/claim/claim_attempt.hpp"

#include <string>
#include <string_view>

namespace turmeric::codecs
{

/// Returns the claim as JSON. Thread safe.
[[nodiscard]] std::string encode_claim(const domain::claim_value& claim);

/// Reads what `encode_claim` wrote. Thread safe.
///
/// Errors: `corrupt_value`.
result<domain::claim_value> decode_claim(std::string_view text);

} // namespace turmeric::codecs
