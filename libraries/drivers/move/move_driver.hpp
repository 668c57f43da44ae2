#pragma once

#include "libraries/core/logger.hpp"
#include "libraries/core/metrics/registry.hpp"
#include "libraries/domain/move/move_state_machine.hpp"
#include "libraries/drivers/move/evidence_collector.hpp"
#include "libraries/drivers/move/load_order_scheduler.hpp"
#include "libraries/drivers/move/move_driver_settings.hpp"
#include "libraries/drivers/move/move_sources.hpp"
#include "libraries/drivers/threads/stop_signal.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/key_value_store.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmeric::drivers
{

/// Runs the version moves of the fleet while this controller leads them. It
/// requests evidence from the routers, steps the state machine, stores each new
/// state by compare-and-swap and orders engines to load versions. Not thread
/// safe, except for its sources; one thread calls `run` or `step`.
class move_driver
{
public:
    /// Creates a driver that does not lead yet. `run_task` runs the load
    /// orders, which can take minutes. Precondition: the references outlive it.
    move_driver(const move_driver_settings& settings, move_sources sources,
                ports::key_value_store& store, ports::peer_caller& peers,
                ports::order_sender& orders, const ports::clock& clock,
                logger& log, task_runner run_task);

    /// Counts in `moves` the moves that end, by route and outcome ("on_time",
    /// "late" or "bad"). Call it before `run`. Precondition: `moves` has these
    /// labels and outlives the driver.
    void count_ended_moves_in(metrics::family<metrics::counter>& moves);

    /// Calls `step` at each poll interval until a stop is requested. Blocks.
    void run(stop_signal& stop);

    /// Runs one round over all moves; has no effect while this process does not
    /// lead. Blocks for calls to the routers and the store.
    void step();

private:
    struct tracked_move
    {
        domain::move_state state;
        ports::revision revision = 0;
        std::optional<domain::version_judge> judge;
        ports::steady_time window_started_at;
        /// Why the move rolls back; empty while it does not. Sent with each
        /// evidence request, so that the routers cut the version even before
        /// the state is stored.
        std::string cut_reason;
    };

    void begin_term(std::int64_t fencing);
    bool read_states();
    void start_declared(const domain::configuration& declared);
    void collect(const std::vector<std::string>& routers);
    void step_move(const domain::configuration& declared,
                   tracked_move& current);
    bool claim(tracked_move& current);
    void step_withdrawn(tracked_move& current);
    void load_versions(const domain::configuration& declared,
                       tracked_move& current);
    [[nodiscard]] domain::move_input
    make_input(const domain::configuration& declared, tracked_move& current);
    [[nodiscard]] domain::version_verdict
    judge(tracked_move& current, const domain::tally_pair& tally,
          const domain::move_declaration& declared);
    bool store(tracked_move& current, const domain::move_state& next_state);
    void count_end(const domain::move_state& next_state);
    void log_step(const domain::move_state& next_state);

    const move_driver_settings m_settings;
    const move_sources m_sources;
    ports::key_value_store& m_store;
    const ports::clock& m_clock;
    logger& m_log;
    domain::move_state_machine m_state_machine;
    evidence_collector m_evidence;
    load_order_scheduler m_load_orders;
    metrics::family<metrics::counter>* m_ended_moves = nullptr;
    std::optional<std::int64_t> m_fencing;
    std::vector<std::string> m_routers;
    std::map<std::string, tracked_move> m_moves;
    /// Set when the outcome of a write is unknown or another process has
    /// written: the states must be read before the next write.
    bool m_needs_read = true;
};

} // namespace turmeric::drivers
