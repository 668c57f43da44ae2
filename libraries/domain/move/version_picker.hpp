#pragma once

#include "libraries/domain/configuration/declarations.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace turmeric::domain
{

/// Picks the version that serves a request. Thread safe; has no state.
struct version_picker
{
    /// Returns the hash bucket of a request, from 0 to below `full_share`. It
    /// is the same on every router and for every retry. Thread safe.
    [[nodiscard]] static std::int32_t bucket_of(std::string_view route,
                                                std::string_view request_id);

    /// Returns the version whose share covers `bucket`, or an empty string when
    /// there are no shares. When the first share grows, the requests that it
    /// covers stay on its version. Thread safe.
    [[nodiscard]] static std::string
    pick(const std::vector<version_share>& shares, std::int32_t bucket);
};

} // namespace turmeric::domain
