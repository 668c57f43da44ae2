#pragma once

#include <string>
#include <string_view>

namespace turmeric::drivers
{

/// Prefix of the keys that routers watch.
inline constexpr std::string_view live_prefix = "/turmericfront/live/";

/// Key of the head of the configuration.
inline constexpr std::string_view head_key =
    "/turmericfront/live/configuration";

/// Prefix of the states of version moves, one key per route.
inline constexpr std::string_view live_moves_prefix =
    "/turmericfront/live/moves/";

/// Prefix of the parts of configurations; a part is named by its digest and
/// never changes.
inline constexpr std::string_view parts_prefix =
    "/turmericfront/configuration/parts/";

/// Returns the key of a part. Thread safe.
[[nodiscard]] inline std::string part_key(std::string_view digest)
{
    return std::string(parts_prefix) + std::string(digest);
}

/// Returns the key of a route's move state. Thread safe.
[[nodiscard]] inline std::string live_move_key(std::string_view route)
{
    return std::string(live_moves_prefix) + std::string(route);
}

} // namespace turmeric::drivers
