#pragma once

#include "libraries/ports/key_value_store.hpp"

#include <map>
#include <memory>
#include <string>

namespace turmeric::drivers
{

/// A move's state as it is stored.
struct live_move_state
{
    /// JSON text.
    std::string text;
    /// The key's modification number.
    ports::revision modified = 0;

    bool operator==(const live_move_state&) const = default;
};

/// Move states by route.
using live_move_state_map = std::map<std::string, live_move_state>;

/// The move states under `live/`, from lists and watch events that may come
/// out of order: what is older than what was seen has no effect. Not thread
/// safe.
class live_move_states
{
public:
    /// Takes a whole list of `live/`; returns whether a state changed. Not
    /// thread safe.
    bool apply_list(const ports::key_range& range);

    /// Takes a watch's events; returns whether a state changed. Not thread
    /// safe.
    bool apply_events(const ports::watch_batch& batch);

    /// Returns the states, never null. Not thread safe.
    [[nodiscard]] std::shared_ptr<const live_move_state_map> current() const;

    /// Returns the store revision up to which everything was seen; 0 before
    /// the first list. Not thread safe.
    [[nodiscard]] ports::revision store_revision() const;

private:
    std::shared_ptr<const live_move_state_map> m_states =
        std::make_shared<const live_move_state_map>();
    ports::revision m_store_revision = 0;
};

} // namespace turmeric::drivers
