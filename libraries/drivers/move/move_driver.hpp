#pragma once

#include "libraries/core/logger.hpp"
#include "libraries/core/metrics/registry.hpp"
#include "libraries/domain/move/move_state_machine.hpp"
#include "libraries/drivers/move/evidence_collector.hpp"
#include "libraries/drivers/move/move_driver_settings.hpp"
#include "libraries/drivers/move/move_sources.hpp"
#include "libraries/drivers/move/order_desk.hpp"
#include "libraries/drivers/threads/stop_signal.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/key_value_store.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmeric::drivers
{

/// Runs the version moves of the fleet while this controller leads them:
/// asks routers for evidence, steps the machine, stores each step by
/// compare-and-swap and has engines load versions. Not thread safe, but for
/// its sources; one thread calls `run` or `step`.
class move_driver
{
public:
    /// Makes a driver that leads nothing yet. `run_task` runs orders, which
    /// take long. Precondition: the references outlive it.
    move_driver(const move_driver_settings& settings, move_sources sources,
                ports::key_value_store& store, ports::peer_caller& peers,
                ports::order_sender& orders, const ports::clock& clock,
                logger& log, task_runner run_task);

    /// Counts moves that end, by route and outcome ("on_time", "late" or
    /// "bad"). Call it before `run`. Precondition: `moves` has these labels
    /// and outlives the driver.
    void count_moves_in(metrics::family<metrics::counter>& moves);

    /// Steps until told to stop. Blocks.
    void run(stop_signal& stop);

    /// Does one round; without effect while another process leads. Blocks
    /// for calls to routers and the store.
    void step();

private:
    struct track
    {
        domain::move_state state;
        ports::revision revision = 0;
        std::optional<domain::version_judge> judge;
        ports::steady_time marked;
        /// Told to the routers until the state says so.
        std::string cut_reason;
    };

    void begin_term(std::int64_t fencing);
    bool read_states();
    void start_declared(const domain::configuration& declared);
    void collect(const std::vector<std::string>& routers);
    void step_track(const domain::configuration& declared, track& current);
    bool claim(track& current);
    void step_withdrawn(track& current);
    void load_versions(const domain::configuration& declared, track& current);
    [[nodiscard]] domain::move_input
    make_input(const domain::configuration& declared, track& current);
    [[nodiscard]] domain::version_verdict
    judge(track& current, const domain::tally_pair& tally,
          const domain::move_declaration& declared);
    bool store(track& current, const domain::move_state& made);
    void count_end(const domain::move_state& made);
    void log_step(const domain::move_state& made);

    const move_driver_settings m_settings;
    const move_sources m_sources;
    ports::key_value_store& m_store;
    const ports::clock& m_clock;
    logger& m_log;
    domain::move_state_machine m_machine;
    evidence_collector m_evidence;
    order_desk m_orders;
    metrics::family<metrics::counter>* m_moves = nullptr;
    std::optional<std::int64_t> m_fencing;
    std::vector<std::string> m_routers;
    std::map<std::string, track> m_tracks;
    /// A write's outcome is unknown, or another wrote: read before acting.
    bool m_needs_read = true;
};

} // namespace turmeric::drivers
