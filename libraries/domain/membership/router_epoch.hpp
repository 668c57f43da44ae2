#pragma once

#include "libraries/ports/clock.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace turmeric::domain
{

/// The number of an epoch: of one set of routers that share the upstreams'
/// capacity. 0 means that there is none yet.
using epoch_number = std::int64_t;

/// Where and when a router process was started.
struct router_origin
{
    std::string vm;
    ports::system_time started{};

    bool operator==(const router_origin&) const = default;
};

/// The set of routers that share the upstreams' capacity in one epoch.
struct router_epoch
{
    epoch_number number = 0;
    /// Incarnations, sorted, each once.
    std::vector<std::string> routers;

    bool operator==(const router_epoch&) const = default;
};

/// The epochs that at least one router may still use. The record is stored
/// under one key and replaced by compare-and-swap only, so that all routers
/// see the same order of epochs.
struct epoch_record
{
    /// In order of their numbers, without a gap; the last one is the newest.
    std::vector<router_epoch> epochs;
    /// The origin of each router of these epochs, by incarnation.
    std::map<std::string, router_origin> origins;
    /// Routers of these epochs that have ended and have no request left at an
    /// upstream.
    std::vector<std::string> ended;
    /// Incremented by one with each change of the record.
    std::int64_t revision = 0;

    /// Returns the number of the newest epoch, or 0. Thread safe while no
    /// thread modifies the record.
    [[nodiscard]] epoch_number newest() const
    {
        return epochs.empty() ? 0 : epochs.back().number;
    }

    bool operator==(const epoch_record&) const = default;
};

/// The newest epoch that each router acknowledged, by incarnation: the router
/// runs no request beyond its shares of that epoch.
using epoch_acknowledgements = std::map<std::string, epoch_number>;

} // namespace turmeric::domain
