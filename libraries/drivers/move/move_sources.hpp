#pragma once

#include "libraries/domain/configuration/declarations.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace turmeric::drivers
{

/// Functions by which the move driver reads the state of its process. All are
/// thread safe and return quickly.
struct move_sources
{
    /// Returns the fencing number; empty while this process does not lead the
    /// moves.
    std::function<std::optional<std::int64_t>()> fencing;
    /// Returns the peer addresses of the live routers.
    std::function<std::vector<std::string>()> routers;
    /// Returns the declarations in force.
    std::function<domain::configuration()> configuration;
};

} // namespace turmeric::drivers
