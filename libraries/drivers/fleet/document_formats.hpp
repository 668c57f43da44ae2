#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/callers/route_table.hpp"
#include "libraries/domain/move/rollout_order.hpp"
#include "libraries/domain/placement/upstream_entry.hpp"
#include "libraries/ports/asynchronous_store.hpp"

#include <string>
#include <string_view>

namespace turmeric::drivers
{

/// The store keys under which a deployment keeps the configuration and its
/// upstreams, and the functions that parse their documents.
struct document_formats
{
    std::string configuration_key;
    std::string upstream_prefix;
    result<domain::route_declarations> (*read_configuration)(
        std::string_view text);
    result<domain::upstream_entry> (*read_upstream)(std::string_view key,
                                                    std::string_view text);
    /// Covers the configuration and the orders of operators; empty if there are
    /// no orders.
    std::string operator_prefix = {};
    /// The prefix of the orders to move a service to another version.
    std::string rollout_prefix = {};
    /// The revision of the order is set by the caller.
    result<domain::rollout_order> (*read_rollout)(std::string_view text) =
        nullptr;
    /// Returns what operators read of a move.
    ports::key_write (*write_rollout_status)(const domain::move_state& state) =
        nullptr;
    /// The prefix of the orders to evacuate a data centre, whose name follows.
    std::string evacuation_prefix = {};
    /// Returns an error if the value of such an order is not what operators
    /// write.
    status (*check_evacuation)(std::string_view key,
                               std::string_view text) = nullptr;
};

} // namespace turmeric::drivers
