#include "libraries/drivers/move/load_order_scheduler.hpp"

#include <chrono>

namespace turmeric::drivers
{

namespace
{

ports::steady_time::duration load_interval(double rate_per_minute)
{
    return std::chrono::duration_cast<ports::steady_time::duration>(
        std::chrono::duration<double>(60 / rate_per_minute));
}

} // namespace

load_order_scheduler::load_order_scheduler(
    ports::order_sender& sender, const ports::clock& clock, logger& log,
    const move_driver_settings& settings,
    std::function<std::optional<std::int64_t>()> fencing, task_runner run)
    : m_sender(sender)
    , m_clock(clock)
    , m_log(log)
    , m_settings(settings)
    , m_current_fencing(std::move(fencing))
    , m_run(std::move(run))
{
}

void load_order_scheduler::begin_term(std::int64_t fencing)
{
    const std::lock_guard lock(m_mutex);
    m_fencing = fencing;
    m_term_started_at = m_clock.steady_now();
    // The predecessor may have sent a load order right before this term.
    m_next_load_at =
        m_term_started_at + load_interval(m_settings.max_loads_per_minute);
    m_orders.clear();
}

bool load_order_scheduler::ensure_loaded(
    const domain::upstream_declaration& upstream, const std::string& version)
{
    std::int64_t fencing = 0;
    {
        const std::lock_guard lock(m_mutex);
        order_state& state = m_orders[{upstream.name, version}];
        if (!may_send_locked(upstream, state))
        {
            return state.progress == order_progress::done;
        }
        state.progress = order_progress::running;
        m_next_load_at = m_clock.steady_now() +
                         load_interval(m_settings.max_loads_per_minute);
        fencing = m_fencing;
    }
    m_run([this, upstream, version, fencing]
          { send(upstream, version, fencing); });
    return false;
}

bool load_order_scheduler::may_send_locked(
    const domain::upstream_declaration& upstream,
    const order_state& state) const
{
    const ports::steady_time now = m_clock.steady_now();
    if (state.progress != order_progress::idle || now < state.retry_at ||
        now < m_next_load_at)
    {
        return false;
    }
    const ports::steady_time predecessor_orders_end_at =
        m_term_started_at + m_settings.order_timeout + m_settings.lease_margin;
    return upstream.has_fencing || now >= predecessor_orders_end_at;
}

void load_order_scheduler::send(const domain::upstream_declaration& upstream,
                                const std::string& version,
                                std::int64_t fencing)
{
    const order_key key{upstream.name, version};
    if (m_current_fencing() != fencing)
    {
        finish(key, fencing, false);
        return;
    }
    const status sent = m_sender.send(
        upstream.address, {ports::order_kind::load, version, fencing},
        m_settings.order_timeout);
    const std::vector<log_field> fields = {{"upstream", upstream.name},
                                           {"version", version},
                                           {"fencing", fencing}};
    if (sent)
    {
        m_log.write(log_level::info, log_event::order_sent, fields);
    }
    else
    {
        m_log.write(log_level::warning, log_event::order_refused, fields);
    }
    finish(key, fencing, sent.has_value());
}

void load_order_scheduler::finish(const order_key& key, std::int64_t fencing,
                                  bool is_loaded)
{
    const std::lock_guard lock(m_mutex);
    if (fencing != m_fencing)
    {
        return;
    }
    order_state& state = m_orders[key];
    state.progress = is_loaded ? order_progress::done : order_progress::idle;
    state.retry_at = m_clock.steady_now() + m_settings.order_retry_delay;
}

} // namespace turmeric::drivers
