#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace turmeric::domain
{

/// Whether an upstream takes new requests.
enum class upstream_state : std::uint8_t
{
    ready,
    draining,
};

/// Returns the state's name. Thread safe.
[[nodiscard]] constexpr std::string_view name_of(upstream_state value)
{
    switch (value)
    {
    case upstream_state::ready:
        return "ready";
    case upstream_state::draining:
        return "draining";
    }
    return "unknown";
}

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
    upstream_state state = upstream_state::ready;

    bool operator==(const upstream_entry&) const = default;
};

} // namespace turmeric::domain
