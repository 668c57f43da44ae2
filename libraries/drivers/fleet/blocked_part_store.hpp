#pragma once

#include "libraries/core/logger.hpp"
#include "libraries/domain/crashing_parts/suspect_part.hpp"
#include "libraries/domain/membership/router_ranking.hpp"
#include "libraries/ports/asynchronous_store.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/timer_queue.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace turmeric::drivers
{

/// Keeps the blocked prompt parts and requests in the store, so that they are
/// still known when all routers have restarted at the same time. One router of
/// the fleet writes each part, once and then rarely. Used on the control thread
/// only.
class blocked_part_store
{
public:
    /// Called with the parts that were blocked when this router started.
    using loaded_handler =
        std::function<void(std::vector<domain::suspect_part>)>;

    /// Precondition: all parameters outlive this object.
    blocked_part_store(ports::asynchronous_store& store,
                       ports::timer_queue& timers, const ports::clock& clock,
                       turmeric::logger& log);
    ~blocked_part_store();

    /// Reads the parts, again and again until the store responds. Called once.
    void load(loaded_handler loaded);

    /// Writes those of `blocked` for which this router ranks first, and deletes
    /// those that it wrote and that are not blocked any more.
    void update(const std::vector<domain::suspect_id>& blocked,
                const domain::router_ranking& routers);

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace turmeric::drivers
