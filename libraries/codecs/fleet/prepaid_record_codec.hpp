#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/prepaid/prepaid_record.hpp"

#include <string>
#include <string_view>

namespace turmeric::codecs
{

/// Encodes a prepaid record as JSON. Thread safe.
[[nodiscard]] std::string
write_prepaid_record(const domain::prepaid_record& record);

/// Decodes a prepaid record. Errors: `corrupt_value`. Thread safe.
[[nodiscard]] result<domain::prepaid_record>
read_prepaid_record(std::string_view text);

} // namespace turmeric::codecs
