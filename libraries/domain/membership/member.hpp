#pragma once

#include "libraries/domain/membership/router_epoch.hpp"
#include "libraries/ports/clock.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmeric::domain
{

/// What a router says of itself; it only ever moves down this list.
enum class member_state : std::uint8_t
{
    live,
    /// Takes no new callers and finishes what it has.
    leaving,
    /// Holds nothing any more and never will again.
    stopped,
};

/// Returns the name used in messages. Thread safe.
[[nodiscard]] constexpr std::string_view name_of(member_state value)
{
    switch (value)
    {
    case member_state::live:
        return "live";
    case member_state::leaving:
        return "leaving";
    case member_state::stopped:
        return "stopped";
    }
    return "unknown";
}

/// One run of a router.
struct member
{
    /// Unique for each start of a process.
    std::string incarnation;
    /// Host and port for callers.
    std::string address;
    /// Host and port for other processes of the system.
    std::string peer_address;
    std::string vm;
    std::string data_centre;
    /// When the process started; a later one on the same VM replaces it.
    ports::system_time started{};

    bool operator==(const member&) const = default;
};

/// What is passed on about a member; only the member itself raises
/// `version`, so the highest version is the newest.
struct member_row
{
    member identity;
    std::uint64_t version = 0;
    member_state state = member_state::live;
    /// Requests that it may hold at all upstreams together.
    std::int64_t share = 0;
    /// Requests that it holds or keeps waiting, rounded.
    std::int64_t load = 0;
    epoch_number acknowledged = 0;
    std::int64_t configuration_version = 0;
    std::string configuration_digest;
    /// Incarnations that heard nothing from it at this version.
    std::vector<std::string> suspected_by;

    bool operator==(const member_row&) const = default;
};

/// A message between two routers, and the answer to it.
struct heartbeat
{
    std::string sender;
    /// The sender's count of changes that `rows` brings the receiver to.
    std::uint64_t index = 0;
    /// The receiver's count of changes that the sender has.
    std::uint64_t received = 0;
    std::vector<member_row> rows;
    /// The revision of the sender's epoch record.
    std::int64_t record_revision = 0;
    /// Set when the receiver was seen to have an older one.
    std::optional<epoch_record> record;

    bool operator==(const heartbeat&) const = default;
};

/// A member as one router sees it.
struct member_status
{
    member_row row;
    /// Takes callers: live, heard of lately, its VM not leaving.
    bool is_eligible = false;
};

/// What one router knows of the fleet at a time.
struct membership_snapshot
{
    std::string self;
    /// Sorted by incarnation.
    std::vector<member_status> members;
    epoch_record record;
    epoch_acknowledgements acknowledged;
    ports::steady_time taken_at{};
};

} // namespace turmeric::domain
