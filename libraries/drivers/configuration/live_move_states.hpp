#pragma once

#include "libraries/ports/key_value_store.hpp"

#include <map>
#include <memory>
#include <string>

namespace turmeric::drivers
{

/// The state of a move as it is stored.
struct live_move_state
{
    /// The state as JSON.
    std::string text;
    /// The revision of the key's last modification.
    ports::revision modification_revision = 0;

    bool operator==(const live_move_state&) const = default;
};

/// Move states by route.
using live_move_state_map = std::map<std::string, live_move_state>;

/// Tracks the move states under `live/` from lists and watch events, which may
/// arrive out of order: lists and events that are older than the newest
/// applied revision have no effect. Not thread safe.
class live_move_states
{
public:
    /// Replaces the states with those of a complete list of `live/`; returns
    /// whether a state changed. Not thread safe.
    bool apply_list(const ports::key_range& range);

    /// Applies the events of a watch; returns whether a state changed. Not
    /// thread safe.
    bool apply_events(const ports::watch_batch& batch);

    /// Returns the states by route, never null. Not thread safe.
    [[nodiscard]] std::shared_ptr<const live_move_state_map> current() const;

    /// Returns the store revision up to which all changes are applied; 0
    /// before the first list. Not thread safe.
    [[nodiscard]] ports::revision store_revision() const;

private:
    std::shared_ptr<const live_move_state_map> m_states =
        std::make_shared<const live_move_state_map>();
    ports::revision m_store_revision = 0;
};

} // namespace turmeric::drivers
