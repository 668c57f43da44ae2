#pragma once

#include "libraries/core/error.hpp"

namespace turmeric::drivers
{

/// Returns the error for a response with this HTTP status. Precondition:
/// `status` is not a success. Thread safe.
[[nodiscard]] error error_from_status(int status);

} // namespace turmeric::drivers
