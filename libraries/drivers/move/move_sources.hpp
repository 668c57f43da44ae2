#pragma once

#include "libraries/domain/configuration/declarations.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace turmeric::drivers
{

/// What the move driver asks the rest of its process. All are thread safe
/// and quick.
struct move_sources
{
    /// The fencing number while this process leads moves.
    std::function<std::optional<std::int64_t>()> fencing;
    /// The peer addresses of the routers that are up.
    std::function<std::vector<std::string>()> routers;
    /// The declarations in force.
    std::function<domain::configuration()> configuration;
};

} // namespace turmeric::drivers
