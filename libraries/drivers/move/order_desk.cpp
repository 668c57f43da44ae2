#include "libraries/drivers/move/order_desk.hpp"

#include <chrono>

namespace turmeric::drivers
{

namespace
{

ports::steady_time::duration pause_between(double loads_per_minute)
{
    return std::chrono::duration_cast<ports::steady_time::duration>(
        std::chrono::duration<double>(60 / loads_per_minute));
}

} // namespace

order_desk::order_desk(ports::order_sender& sender, const ports::clock& clock,
                       logger& log, const move_driver_settings& settings,
                       std::function<std::optional<std::int64_t>()> fencing,
                       task_runner run)
    : m_sender(sender)
    , m_clock(clock)
    , m_log(log)
    , m_settings(settings)
    , m_current_fencing(std::move(fencing))
    , m_run(std::move(run))
{
}

void order_desk::begin_term(std::int64_t fencing)
{
    const std::lock_guard lock(m_mutex);
    m_fencing = fencing;
    m_term_start = m_clock.steady_now();
    // The predecessor may have used the weight store just now.
    m_next_load = m_term_start + pause_between(m_settings.loads_per_minute);
    m_orders.clear();
}

bool order_desk::load(const domain::upstream_declaration& upstream,
                      const std::string& version)
{
    std::int64_t fencing = 0;
    {
        const std::lock_guard lock(m_mutex);
        order_state& state = m_orders[{upstream.name, version}];
        if (!may_send_locked(upstream, state))
        {
            return state.at == progress::done;
        }
        state.at = progress::running;
        m_next_load =
            m_clock.steady_now() + pause_between(m_settings.loads_per_minute);
        fencing = m_fencing;
    }
    m_run([this, upstream, version, fencing]
          { send(upstream, version, fencing); });
    return false;
}

bool order_desk::may_send_locked(const domain::upstream_declaration& upstream,
                                 const order_state& state) const
{
    const ports::steady_time now = m_clock.steady_now();
    if (state.at != progress::idle || now < state.not_before ||
        now < m_next_load)
    {
        return false;
    }
    const ports::steady_time predecessor_over =
        m_term_start + m_settings.order_timeout + m_settings.lease_slack;
    return upstream.has_fencing || now >= predecessor_over;
}

void order_desk::send(const domain::upstream_declaration& upstream,
                      const std::string& version, std::int64_t fencing)
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

void order_desk::finish(const order_key& key, std::int64_t fencing,
                        bool is_done)
{
    const std::lock_guard lock(m_mutex);
    if (fencing != m_fencing)
    {
        return;
    }
    order_state& state = m_orders[key];
    state.at = is_done ? progress::done : progress::idle;
    state.not_before = m_clock.steady_now() + m_settings.order_retry;
}

} // namespace turmeric::drivers
