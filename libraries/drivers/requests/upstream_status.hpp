#pragma once

#include "libraries/core/error.hpp"

namespace turmeric::drivers
{

/// Makes the error for an HTTP status that an upstream refused with.
/// Precondition: `status` is not a success. Thread safe.
[[nodiscard]] error error_from_status(int status);

} // namespace turmeric::drivers
