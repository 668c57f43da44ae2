#pragma once

#include "libraries/domain/configuration/declarations.hpp"

#include <cstdint>
#include <string>

namespace turmeric::domain
{

/// What an upstream says of itself.
struct upstream_entry
{
    /// One start of the upstream; a restart mostly has another.
    std::string id;
    /// When it was started, in its own milliseconds; tells restarts under
    /// the same id apart.
    std::int64_t born = 0;
    std::string service;
    std::string address;
    std::string data_centre;
    /// The version of its software.
    std::string version;
    std::int32_t slots = 1;
    upstream_state state = upstream_state::serving;

    bool operator==(const upstream_entry&) const = default;
};

} // namespace turmeric::domain
