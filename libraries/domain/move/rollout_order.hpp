#pragma once

#include "libraries/domain/configuration/declarations.hpp"
#include "libraries/domain/move/move_state.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace turmeric::domain
{

/// An operator's order to move the requests of a service to upstreams of
/// another version, which run beside those of the old one.
struct rollout_order
{
    std::string service;
    std::string to_version;
    /// From the order to the latest end of the move.
    std::chrono::milliseconds time_limit{0};
    /// The store's revision of the order, which tells it from other orders with
    /// the same content.
    std::int64_t revision = 0;

    bool operator==(const rollout_order&) const = default;
};

/// Returns a number that identifies an order. Thread safe.
[[nodiscard]] std::uint64_t identity_of(const rollout_order& order);

/// Returns the move that an order declares: the new version gets `first_share`
/// of the requests, in parts per million, then a few times as many, and all of
/// them at the end. The name of the service stands for the route. Times count
/// from the order, which was given at the epoch, since no VM's time of day is
/// relied on. Thread safe.
[[nodiscard]] move_declaration declare_move(const rollout_order& order,
                                            std::int32_t first_share);

/// Returns the state in which an ordered move begins. Thread safe.
[[nodiscard]] move_state initial_state(const rollout_order& order,
                                       std::int32_t first_share);

} // namespace turmeric::domain
