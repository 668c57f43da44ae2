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

/// The state that a router reports about itself; it only changes to a later
/// one of this list.
enum class member_state : std::uint8_t
{
    live,
    /// Accepts no new callers and finishes its current requests.
    leaving,
    /// Has no requests and will not accept any.
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
    /// Unique for each start of a router process.
    std::string incarnation;
    /// Host and port for callers.
    std::string address;
    /// Host and port for other processes of the system.
    std::string peer_address;
    std::string vm;
    std::string data_centre;
    /// When the process started; a process started later on the same VM
    /// replaces it.
    ports::system_time started{};

    bool operator==(const member&) const = default;
};

/// The state of one member that routers exchange in heartbeats. Only the
/// member itself increments `version`, so the highest version is the newest.
struct member_row
{
    member identity;
    /// 0 until the member's own first report arrives.
    std::uint64_t version = 0;
    member_state state = member_state::live;
    /// Requests that it may run at all upstreams together.
    std::int64_t share = 0;
    /// Requests that it runs or queues; updated in steps.
    std::int64_t load = 0;
    /// The newest epoch that it acknowledged: it runs no request beyond its
    /// shares of that epoch.
    epoch_number acknowledged = 0;
    std::int64_t configuration_version = 0;
    std::string configuration_digest;
    /// Incarnations of routers that suspect that it failed: no heartbeat from
    /// it reached them in time at this version.
    std::vector<std::string> suspected_by;

    bool operator==(const member_row&) const = default;
};

/// A message between two routers, and also the response to it.
struct heartbeat
{
    std::string sender;
    /// The sender's change count; with `rows` the receiver has all changes up
    /// to it.
    std::uint64_t index = 0;
    /// The receiver's change count up to which the sender has all changes.
    std::uint64_t received = 0;
    std::vector<member_row> rows;
    /// The revision of the sender's epoch record.
    std::int64_t record_revision = 0;
    /// The sender's epoch record; set when the receiver's last reported
    /// revision is older.
    std::optional<epoch_record> record;

    bool operator==(const heartbeat&) const = default;
};

/// A member as one router sees it.
struct member_status
{
    member_row row;
    /// Whether callers may be sent to it: it is live, not unreachable, and its
    /// VM is not leaving.
    bool is_eligible = false;
};

/// One router's view of the fleet at one time.
struct membership_snapshot
{
    /// This router's incarnation.
    std::string self;
    /// Sorted by incarnation.
    std::vector<member_status> members;
    epoch_record record;
    epoch_acknowledgements acknowledged;
    ports::steady_time taken_at{};
};

} // namespace turmeric::domain
