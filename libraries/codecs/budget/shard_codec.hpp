#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/budget/budget_shard.hpp"

#include <string>
#include <string_view>

namespace turmeric::codecs
{

/// Encodes a shard as compact JSON. Records are arrays, times are seconds
/// since the epoch, and all bills that became durable in the same second are
/// one string with 25 characters for each bill.
/// Precondition: `domain::is_consistent(shard)`. Thread safe.
[[nodiscard]] std::string encode_shard(const domain::budget_shard& shard);

/// Decodes the text that `encode_shard` returns. Thread safe.
///
/// Errors: `corrupt_value`, with the malformed or inconsistent part of the
/// shard as the field.
result<domain::budget_shard> decode_shard(std::string_view text);

} // namespace turmeric::codecs
