#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/budget/budget_shard.hpp"

#include <string>
#include <string_view>

namespace turmeric::codecs
{

/// Returns the shard as compact JSON. Records are arrays, times are seconds
/// since the epoch, and the bills of one second are one string with 25
/// characters for each bill. Precondition: `domain::is_consistent(shard)`.
/// Thread safe.
[[nodiscard]] std::string encode_shard(const domain::budget_shard& shard);

/// Reads what `encode_shard` wrote. Thread safe.
///
/// Errors: `corrupt_value`, with the part at fault as the field.
result<domain::budget_shard> decode_shard(std::string_view text);

} // namespace turmeric::codecs
