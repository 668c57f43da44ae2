#pragma once

#include "libraries/domain/crashing_parts/unconfirmed_ends.hpp"
#include "libraries/domain/placement/path_monitor.hpp"
#include "libraries/ports/timer_queue.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace turmeric::drivers
{

struct traffic_state;

/// Sends the probes by which the path monitor of the traffic finds out whether
/// this router reaches upstreams, and acts on what it finds. Used on the
/// traffic thread only.
class path_prober
{
public:
    /// Precondition: `state` outlives this object.
    explicit path_prober(traffic_state& state);
    ~path_prober();
    path_prober(const path_prober&) = delete;
    path_prober& operator=(const path_prober&) = delete;

    /// Records that a request was sent to an upstream.
    void note_sent(const domain::upstream_entry& upstream);

    /// Records that an upstream sent a part of a response.
    void note_contact(const domain::upstream_entry& upstream);

    /// Records that a call to an upstream, sent at `sent_at`, failed by its
    /// connection.
    void note_failure(const domain::upstream_entry& upstream,
                      ports::transport_failure failure,
                      ports::steady_time sent_at);

    /// Records that an upstream ended, or this router's path to it, under a
    /// request with these suspects. The end counts once it is confirmed.
    void note_end(const domain::upstream_entry& upstream,
                  const std::vector<domain::suspect_id>& ids,
                  ports::steady_time sent_at);

    /// Starts the probes that are due now, and sees to the later ones.
    void update();

private:
    /// Records ends of upstreams that were confirmed.
    void record_ends(const std::vector<domain::unconfirmed_end>& ends);
    void start_probes(ports::steady_time now);
    void schedule_next(ports::steady_time now);
    void send_probe(const domain::upstream_entry& upstream);
    void on_probed(const domain::upstream_entry& upstream,
                   ports::probe_result result);
    void on_timer();
    void schedule(ports::steady_time at);
    /// Acts on services that are cut off or reached again.
    void apply_changes();
    void apply(const domain::path_change& change);

    traffic_state& m_state;
    std::unique_ptr<ports::timer> m_timer;
    std::optional<ports::steady_time> m_scheduled_at;
    /// Expires with this object; probes may end later.
    std::shared_ptr<path_prober*> m_self;
};

} // namespace turmeric::drivers
