#include "libraries/drivers/exchange/path_prober.hpp"

#include "libraries/drivers/exchange/traffic_state.hpp"

#include <utility>
#include <vector>

namespace turmeric::drivers
{

namespace
{

/// A sound upstream may pause for about a second.
constexpr std::chrono::milliseconds probe_response_timeout{1'000};

} // namespace

path_prober::path_prober(traffic_state& state)
    : m_state(state)
    , m_self(std::make_shared<path_prober*>(this))
{
}

path_prober::~path_prober() = default;

void path_prober::note_sent(const domain::upstream_entry& upstream)
{
    m_state.paths.record_sent(upstream,
                              m_state.dependencies.clock.steady_now());
    update();
}

void path_prober::note_contact(const domain::upstream_entry& upstream)
{
    const ports::steady_time now = m_state.dependencies.clock.steady_now();
    m_state.paths.record_contact(upstream, now);
    if (!m_state.unconfirmed.empty())
    {
        record_ends(m_state.unconfirmed.take_confirmed(upstream.service,
                                                       upstream.id, now));
    }
}

void path_prober::note_failure(const domain::upstream_entry& upstream,
                               ports::transport_failure failure,
                               ports::steady_time sent_at)
{
    if (m_state.paths.was_cut_off_since(upstream.service, sent_at))
    {
        return;
    }
    m_state.paths.record_failure(upstream, failure,
                                 m_state.dependencies.clock.steady_now());
    update();
}

void path_prober::note_end(const domain::upstream_entry& upstream,
                           const std::vector<domain::suspect_id>& ids,
                           ports::steady_time sent_at)
{
    if (m_state.paths.was_cut_off_since(upstream.service, sent_at))
    {
        return;
    }
    domain::unconfirmed_end end;
    end.service = upstream.service;
    end.upstream = upstream.id;
    end.ids = ids;
    end.end = m_state.crashing_parts.make_end(
        domain::incarnation_of(upstream),
        m_state.dependencies.clock.steady_now());
    // With one upstream there is nothing to compare with; its end counts once
    // only.
    if (!m_state.paths.has_other_upstream(upstream.service, upstream.id))
    {
        record_ends({end});
        return;
    }
    m_state.unconfirmed.add(std::move(end));
    update();
}

void path_prober::record_ends(const std::vector<domain::unconfirmed_end>& ends)
{
    for (const domain::unconfirmed_end& one : ends)
    {
        m_state.record_upstream_end(one.ids, one.end);
    }
}

void path_prober::update()
{
    const ports::steady_time now = m_state.dependencies.clock.steady_now();
    m_state.unconfirmed.drop_old(now);
    for (const domain::upstream_to_probe& one :
         m_state.unconfirmed.take_upstreams_to_probe(now))
    {
        m_state.paths.request_probes(one.service, one.upstream);
    }
    start_probes(now);
    schedule_next(now);
}

void path_prober::start_probes(ports::steady_time now)
{
    for (const domain::upstream_entry& upstream :
         m_state.paths.start_probes(now, m_state.dependencies.random))
    {
        send_probe(upstream);
    }
}

void path_prober::send_probe(const domain::upstream_entry& upstream)
{
    const domain::upstream_service* const service =
        m_state.routes == nullptr
            ? nullptr
            : m_state.routes->find_service(upstream.service);
    ports::path_probe probe;
    probe.address = upstream.address;
    probe.bytes =
        m_state.dependencies.dialect.write_path_probe(upstream, service);
    probe.connect_timeout = m_state.settings.connect_timeout;
    probe.response_timeout = probe_response_timeout;
    const std::weak_ptr<path_prober*> weak = m_self;
    m_state.dependencies.transport.probe(
        std::move(probe),
        [weak, upstream](ports::probe_result result)
        {
            if (const std::shared_ptr<path_prober*> self = weak.lock())
            {
                (*self)->on_probed(upstream, result);
            }
        });
}

void path_prober::schedule_next(ports::steady_time now)
{
    // Changes are applied from the timer, since the caller may be in the middle
    // of a call's end.
    if (m_state.paths.has_changes())
    {
        schedule(now);
        return;
    }
    for (const std::optional<ports::steady_time>& next :
         {m_state.paths.next_probes_at(), m_state.unconfirmed.next_probes_at()})
    {
        if (next)
        {
            schedule(*next);
        }
    }
}

void path_prober::schedule(ports::steady_time at)
{
    // A timer that is set for too early is left, since that is cheaper than a
    // new one for each request.
    if (m_scheduled_at && *m_scheduled_at <= at)
    {
        return;
    }
    m_scheduled_at = at;
    m_timer = m_state.dependencies.timers.schedule(at, [this] { on_timer(); });
}

void path_prober::on_timer()
{
    m_scheduled_at.reset();
    apply_changes();
    update();
}

void path_prober::on_probed(const domain::upstream_entry& upstream,
                            ports::probe_result result)
{
    m_state.dependencies.metrics.path_probes
        .with_labels({upstream.service, std::string(name_of(result))})
        .add();
    const ports::steady_time now = m_state.dependencies.clock.steady_now();
    m_state.paths.record_probe(upstream, result, now);
    apply_changes();
    record_ends(m_state.unconfirmed.record_probe(upstream.service, upstream.id,
                                                 result));
    update();
}

void path_prober::apply_changes()
{
    for (const domain::path_change& change : m_state.paths.take_changes())
    {
        apply(change);
    }
}

void path_prober::apply(const domain::path_change& change)
{
    m_state.dependencies.log.write(
        log_level::warning,
        change.is_cut_off ? log_event::paths_lost : log_event::paths_restored,
        {{"service", change.service},
         {"upstreams", static_cast<std::int64_t>(change.upstreams)}});
    const std::size_t dropped = m_state.unconfirmed.drop(change.service);
    if (dropped > 0)
    {
        m_state.dependencies.log.write(
            log_level::info, log_event::ends_dropped,
            {{"service", change.service},
             {"ends", static_cast<std::int64_t>(dropped)}});
    }
    for (const domain::upstream_entry& upstream :
         m_state.load_balancer.forget_failures(change.service))
    {
        // Open connections that still deliver are kept for their calls; the
        // others may be dead without a sign of it.
        if (change.is_cut_off && !m_state.paths.is_in_contact(change.service))
        {
            m_state.dependencies.transport.close_idle_connections(
                upstream.address);
        }
    }
    m_state.place_queued_requests(change.service);
}

} // namespace turmeric::drivers
