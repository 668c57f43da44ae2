#pragma once

#include "libraries/adapters/httplib/http_upstream_caller.hpp"
#include "libraries/core/logger.hpp"
#include "libraries/drivers/leadership/leadership.hpp"
#include "libraries/drivers/move/move_driver.hpp"
#include "libraries/drivers/move/upstream_order_sender.hpp"
#include "libraries/drivers/threads/stop_signal.hpp"
#include "libraries/drivers/threads/thread_pool.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/key_value_store.hpp"
#include "libraries/ports/peer.hpp"

#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace turmeric::controller
{

/// What the duty uses of its process.
struct move_duty_dependencies
{
    ports::key_value_store& store;
    ports::peer_caller& peers;
    const ports::clock& clock;
    logger& log;
    /// Returns the peer addresses of the routers that hold a lease. Thread
    /// safe.
    std::function<std::vector<std::string>()> routers;
    /// Returns the declarations in force. Thread safe.
    std::function<domain::configuration()> configuration;
};

/// Takes part in the leader election for version moves, and runs the moves
/// while this process leads. Thread safe after `start`.
class move_duty
{
public:
    /// Precondition: the dependencies outlive this object.
    move_duty(const move_duty_dependencies& dependencies,
              drivers::leadership_settings leading);
    move_duty(const move_duty&) = delete;
    move_duty& operator=(const move_duty&) = delete;
    ~move_duty();

    /// Joins the leader election. Precondition: not started before.
    void start();

    /// Waits for an order in progress, ends the threads and resigns.
    void stop();

    /// Returns true while this process leads. Thread safe.
    [[nodiscard]] bool is_leading() const;

private:
    drivers::leadership m_leader;
    adapters::http_upstream_caller m_upstreams;
    drivers::upstream_order_sender m_orders;
    drivers::thread_pool m_tasks;
    drivers::stop_signal m_stop;
    drivers::move_driver m_driver;
    std::thread m_thread;
};

} // namespace turmeric::controller
