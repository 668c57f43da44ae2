#pragma once

#include "libraries/drivers/fleet/rollout_control.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

namespace turmeric::drivers
{

/// The routers that judge a move.
inline constexpr std::size_t max_judges = 3;

/// A move that follows an order of the store.
struct rollout_control::rollout
{
    explicit rollout(domain::service_rollout followed)
        : move(std::move(followed))
    {
    }

    domain::service_rollout move;
    /// Of the stored state, also of that of an earlier order; 0 if there is
    /// none.
    ports::revision record_revision = 0;
    /// Since when a transition has been due.
    std::optional<ports::steady_time> due_since;
    std::optional<ports::steady_time> retry_at;
    /// Whether the stored state, if there is one, was read or came from a peer.
    bool is_loaded = false;
    /// When this router saw that the move has ended.
    std::optional<ports::steady_time> ended_at;
    bool is_committing = false;
    bool is_cut_logged = false;
};

/// The upstreams of the versions of a service.
struct rollout_control::version_strength
{
    std::int64_t new_slots = 0;
    std::int64_t old_slots = 0;
    /// Requests on the old version, by the last reports.
    std::int64_t old_requests = 0;
};

} // namespace turmeric::drivers
