#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/prepaid/grant_record.hpp"

#include <string>
#include <string_view>

namespace turmeric::codecs
{

/// Writes a grant record as JSON. Thread safe.
[[nodiscard]] std::string
write_grant_record(const domain::grant_record& record);

/// Reads a grant record. Errors: `corrupt_value`. Thread safe.
[[nodiscard]] result<domain::grant_record>
read_grant_record(std::string_view text);

} // namespace turmeric::codecs
