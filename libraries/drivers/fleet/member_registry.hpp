#pragma once

#include "libraries/core/logger.hpp"
#include "libraries/drivers/fleet/fleet_member.hpp"
#include "libraries/drivers/fleet/prefix_follower.hpp"
#include "libraries/ports/asynchronous_store.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/timer_queue.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace turmeric::drivers
{

/// Registers this router in the store under a lease, and follows the
/// registrations of the other routers. Used on the thread of the store only.
class member_registry
{
public:
    /// Precondition: all but `self` outlive the registry.
    member_registry(ports::asynchronous_store& store,
                    ports::timer_queue& timers, const ports::clock& clock,
                    logger& log, fleet_member self);
    ~member_registry();
    member_registry(const member_registry&) = delete;
    member_registry& operator=(const member_registry&) = delete;

    /// Starts to register this router and to follow the others. `changed` is
    /// called with all members, including this router, after each change.
    /// Called once.
    void start(std::function<void(const std::vector<fleet_member>&)> changed);

    /// Ends the lease, which deletes this router's registration.
    void leave();

private:
    struct state;

    std::shared_ptr<state> m_state;
    prefix_follower m_follower;
};

} // namespace turmeric::drivers
