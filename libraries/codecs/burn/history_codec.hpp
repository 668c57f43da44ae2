#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/burn/burn_sample.hpp"

#include <string>
#include <string_view>

namespace turmeric::codecs
{

/// Encodes a sample as one line of JSON without a line break. Thread safe.
[[nodiscard]] std::string encode_sample(const domain::burn_sample& sample);

/// Decodes one line that `encode_sample` returned. Errors: `corrupt_value` with
/// the path of the first missing or invalid field. Thread safe.
result<domain::burn_sample> decode_sample(std::string_view line);

} // namespace turmeric::codecs
