#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/burn/burn_sample.hpp"

#include <string>
#include <string_view>

namespace turmeric::codecs
{

/// Returns the sample as one line of JSON without a line end. Thread safe.
[[nodiscard]] std::string encode_sample(const domain::burn_sample& sample);

/// Reads one line; `corrupt_value` with the field at fault. Thread safe.
result<domain::burn_sample> decode_sample(std::string_view line);

} // namespace turmeric::codecs
