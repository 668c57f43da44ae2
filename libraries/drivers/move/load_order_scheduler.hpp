#pragma once

#include "libraries/core/logger.hpp"
#include "libraries/domain/configuration/declarations.hpp"
#include "libraries/drivers/move/move_driver_settings.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/order_sender.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

namespace turmeric::drivers
{

/// Runs a task, either on another thread or synchronously.
using task_runner = std::function<void(std::function<void()>)>;

/// Sends load orders to engines during one leadership term at a time. It limits
/// the rate of orders to what the weight store can serve. An engine that does
/// not check the fencing number is sent an order only once no order of the
/// predecessor can still be in progress. Thread safe. The tasks passed to the
/// task runner must end before the scheduler is destroyed.
class load_order_scheduler
{
public:
    /// Creates a scheduler. `fencing` is called again right before each order
    /// is sent. Precondition: the references outlive it.
    load_order_scheduler(ports::order_sender& sender, const ports::clock& clock,
                         logger& log, const move_driver_settings& settings,
                         std::function<std::optional<std::int64_t>()> fencing,
                         task_runner run);

    /// Starts a leadership term: orders of earlier terms count as not sent, and
    /// the waiting times for the rate limit and for the predecessor's orders
    /// start. Thread safe.
    void begin_term(std::int64_t fencing);

    /// Orders the upstream to load the version when an order is due. Returns
    /// whether an order of this term has succeeded; call it again until it
    /// returns true. Thread safe.
    bool ensure_loaded(const domain::upstream_declaration& upstream,
                       const std::string& version);

private:
    enum class order_progress : std::uint8_t
    {
        idle,
        running,
        done,
    };

    struct order_state
    {
        order_progress progress = order_progress::idle;
        ports::steady_time retry_at;
    };

    using order_key = std::pair<std::string, std::string>;

    [[nodiscard]] bool
    may_send_locked(const domain::upstream_declaration& upstream,
                    const order_state& state) const;
    void send(const domain::upstream_declaration& upstream,
              const std::string& version, std::int64_t fencing);
    void finish(const order_key& key, std::int64_t fencing, bool is_loaded);

    ports::order_sender& m_sender;
    const ports::clock& m_clock;
    logger& m_log;
    const move_driver_settings m_settings;
    const std::function<std::optional<std::int64_t>()> m_current_fencing;
    const task_runner m_run;
    std::mutex m_mutex;
    std::int64_t m_fencing = 0;
    ports::steady_time m_term_started_at;
    ports::steady_time m_next_load_at;
    std::map<order_key, order_state> m_orders;
};

} // namespace turmeric::drivers
