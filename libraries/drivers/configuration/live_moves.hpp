#pragma once

#include "libraries/ports/key_value_store.hpp"

#include <map>
#include <memory>
#include <string>

namespace turmeric::drivers
{

/// A move's state as it is stored.
struct live_move
{
    /// JSON text.
    std::string text;
    /// The key's modification number.
    ports::revision modified = 0;

    bool operator==(const live_move&) const = default;
};

/// Move states by route.
using live_move_map = std::map<std::string, live_move>;

/// The move states under `live/`, from lists and watch events that may come
/// out of order: what is older than what was seen has no effect. Not thread
/// safe.
class live_moves
{
public:
    /// Takes a whole list of `live/`; returns whether a state changed. Not
    /// thread safe.
    bool take_list(const ports::key_range& range);

    /// Takes a watch's events; returns whether a state changed. Not thread
    /// safe.
    bool take_events(const ports::watch_batch& batch);

    /// Returns the states, never null. Not thread safe.
    [[nodiscard]] std::shared_ptr<const live_move_map> current() const;

    /// Returns the store revision up to which everything was seen; 0 before
    /// the first list. Not thread safe.
    [[nodiscard]] ports::revision store_revision() const;

private:
    std::shared_ptr<const live_move_map> m_moves =
        std::make_shared<const live_move_map>();
    ports::revision m_store_revision = 0;
};

} // namespace turmeric::drivers
