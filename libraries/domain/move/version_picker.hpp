#pragma once

#include "libraries/domain/configuration/declarations.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace turmeric::domain
{

/// Picks the version that serves a request. Thread safe; without state.
struct version_picker
{
    /// Returns the bucket of a request between 0 and a million, the same on
    /// each router and for each retry. Thread safe.
    [[nodiscard]] static std::int32_t bucket_of(std::string_view route,
                                                std::string_view request_id);

    /// Returns the version whose share covers `bucket`, or an empty text when
    /// there are no shares. A share that grows at the front keeps the
    /// requests it has. Thread safe.
    [[nodiscard]] static std::string
    pick(const std::vector<version_share>& shares, std::int32_t bucket);
};

} // namespace turmeric::domain
