#include "libraries/drivers/exchange/traffic_dispatcher.hpp"

#include <cmath>
#include <limits>
#include <utility>

namespace turmeric::drivers
{

namespace
{

constexpr std::chrono::milliseconds overload_retry_after{300};

std::int64_t to_percent(double part)
{
    constexpr double whole_percent = 100;
    return std::llround(part * whole_percent);
}

/// Returns a random number from 0 to 1.
double draw_part(ports::random_source& random)
{
    return static_cast<double>(random.next()) /
           static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

} // namespace

domain::link_meter& traffic_dispatcher::link_meter()
{
    return m_state.overload.meter();
}

void traffic_dispatcher::record_loop_delay(std::chrono::nanoseconds delay)
{
    m_state.dependencies.metrics.loop_delay.with_labels({}).record(
        std::chrono::duration_cast<std::chrono::microseconds>(delay));
    m_state.overload.record_loop_delay(delay,
                                       m_state.dependencies.clock.steady_now());
}

void traffic_dispatcher::set_overload_handler(
    std::function<void(bool is_overloaded)> action)
{
    m_overload_handler = std::move(action);
}

void traffic_dispatcher::update_overload()
{
    const ports::steady_time now = m_state.dependencies.clock.steady_now();
    if (!m_state.overload.update(now))
    {
        return;
    }
    const bool is_overloaded = m_state.overload.is_overloaded();
    const domain::link_use use = m_state.overload.use(now);
    const std::chrono::milliseconds delay =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            m_state.overload.loop_delay());
    m_state.dependencies.log.write(
        is_overloaded ? log_level::warning : log_level::info,
        is_overloaded ? log_event::router_overloaded
                      : log_event::router_relieved,
        {{"received_percent", to_percent(use.received)},
         {"sent_percent", to_percent(use.sent)},
         {"loop_delay_ms", static_cast<std::int64_t>(delay.count())}});
    if (m_overload_handler)
    {
        m_overload_handler(is_overloaded);
    }
}

void traffic_dispatcher::show_link_use()
{
    const domain::link_use use =
        m_state.overload.use(m_state.dependencies.clock.steady_now());
    metrics::family<metrics::gauge>& gauges =
        m_state.dependencies.metrics.link_use;
    gauges.with_labels({"received"}).set(to_percent(use.received));
    gauges.with_labels({"sent"}).set(to_percent(use.sent));
}

std::optional<error> traffic_dispatcher::find_overload_refusal() const
{
    const double part =
        m_state.overload.refused_part(m_state.dependencies.clock.steady_now());
    if (part <= 0 || draw_part(m_state.dependencies.random) >= part)
    {
        return std::nullopt;
    }
    return error{result_code::router_overloaded, "",
                 "this router is offered more than its VM carries",
                 outcome::not_run, overload_retry_after};
}

} // namespace turmeric::drivers
