#pragma once

#include "libraries/ports/clock.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace turmeric::domain
{

/// Numbers the sets of routers that share the upstreams' capacity; 0 means
/// none yet.
using epoch_number = std::int64_t;

/// Where and when a router was started.
struct router_origin
{
    std::string vm;
    ports::system_time started{};

    bool operator==(const router_origin&) const = default;
};

/// The routers that share the upstreams' capacity from one number on.
struct router_epoch
{
    epoch_number number = 0;
    /// Incarnations, sorted, each once.
    std::vector<std::string> routers;

    bool operator==(const router_epoch&) const = default;
};

/// The epochs that may be in use somewhere; stored under one key and only
/// ever replaced by compare-and-swap, so that epochs have one order.
struct epoch_record
{
    /// Rising numbers without a gap; the last one is the newest.
    std::vector<router_epoch> epochs;
    /// The origin of each router of these epochs, by incarnation.
    std::map<std::string, router_origin> origins;
    /// Routers of these epochs that ended and whose requests are over.
    std::vector<std::string> ended;
    /// Goes up by one with each change of the record.
    std::int64_t revision = 0;

    /// Returns the newest number, or 0. Thread safe while nobody writes.
    [[nodiscard]] epoch_number newest() const
    {
        return epochs.empty() ? 0 : epochs.back().number;
    }

    bool operator==(const epoch_record&) const = default;
};

/// The newest epoch that each router said it keeps to: it holds no request
/// beyond its shares of that epoch.
using epoch_acknowledgements = std::map<std::string, epoch_number>;

} // namespace turmeric::domain
