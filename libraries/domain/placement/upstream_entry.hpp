#pragma once

#include "libraries/domain/configuration/declarations.hpp"
#include "libraries/domain/digest.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace turmeric::domain
{

/// What an upstream reports about itself.
struct upstream_entry
{
    /// Identifies one start of the upstream; a restart usually has another id.
    std::string id;
    /// Start time in milliseconds of the upstream's own clock; distinguishes
    /// restarts that have the same id.
    std::int64_t born = 0;
    std::string service;
    std::string address;
    std::string data_centre;
    /// The version of the upstream's software.
    std::string version;
    /// Requests that it can process at the same time.
    std::int32_t slots = 1;
    upstream_state state = upstream_state::serving;
    /// How much longer it is cold.
    std::chrono::milliseconds cold_left{0};
    /// Whether the upstream has said how long it is cold.
    bool has_cold_time = true;
    /// The field of the record whose value is invalid and was ignored; empty if
    /// there is none.
    std::string ignored_field = {};

    bool operator==(const upstream_entry&) const = default;
};

/// Returns a digest that distinguishes the starts of all upstreams. Thread
/// safe.
[[nodiscard]] inline std::uint64_t incarnation_of(const upstream_entry& entry)
{
    return digest_of(entry.id, static_cast<std::uint64_t>(entry.born));
}

} // namespace turmeric::domain
