#include "libraries/drivers/move/move_driver.hpp"

#include "libraries/codecs/move/move_state_codec.hpp"
#include "libraries/drivers/move/move_targets.hpp"

#include <utility>

namespace turmeric::drivers
{

namespace
{

/// The reason to roll back a move whose declaration was removed.
constexpr const char* withdrawn_reason = "withdrawn";

} // namespace

move_driver::move_driver(const move_driver_settings& settings,
                         move_sources sources, ports::key_value_store& store,
                         ports::peer_caller& peers, ports::order_sender& orders,
                         const ports::clock& clock, logger& log,
                         task_runner run_task)
    : m_settings(settings)
    , m_sources(std::move(sources))
    , m_store(store)
    , m_clock(clock)
    , m_log(log)
    , m_state_machine(settings.moves)
    , m_evidence(peers, clock, settings)
    , m_load_orders(orders, clock, log, settings, m_sources.fencing,
                    std::move(run_task))
{
}

void move_driver::run(stop_signal& stop)
{
    do
    {
        step();
    } while (stop.sleep_for(m_settings.poll_interval));
}

void move_driver::step()
{
    const std::optional<std::int64_t> fencing = m_sources.fencing();
    if (!fencing)
    {
        m_fencing.reset();
        return;
    }
    if (m_fencing != fencing)
    {
        begin_term(*fencing);
    }
    m_routers = m_sources.routers();
    collect(m_routers);
    if (m_needs_read)
    {
        // While the store is unavailable, the driver goes on with the states
        // that it read last: it can still have the routers cut a bad version.
        read_states();
    }
    const domain::configuration declared = m_sources.configuration();
    start_declared(declared);
    for (auto& [route, current] : m_moves)
    {
        if (claim(current))
        {
            step_move(declared, current);
        }
    }
    std::erase_if(m_moves,
                  [](const auto& entry) { return entry.second.revision == 0; });
}

void move_driver::begin_term(std::int64_t fencing)
{
    m_moves.clear();
    m_evidence.clear();
    m_load_orders.begin_term(fencing);
    m_fencing = fencing;
    m_needs_read = !read_states();
}

bool move_driver::read_states()
{
    const result<ports::key_range> stored =
        m_store.list(std::string(codecs::move_key_prefix));
    if (!stored)
    {
        return false;
    }
    std::map<std::string, tracked_move> previous = std::move(m_moves);
    m_moves.clear();
    for (const ports::key_value& entry : stored.value().entries)
    {
        const result<domain::move_state> state =
            codecs::decode_move_state(entry.value);
        if (!state)
        {
            m_log.write(log_level::error, log_event::configuration_rejected,
                        {{"key", entry.key}, {"field", state.failure().field}});
            continue;
        }
        // The judge and its windows are kept across reads. The stored state
        // shows whether a write of unknown outcome took effect.
        tracked_move current;
        const auto found = previous.find(state.value().route);
        if (found != previous.end() &&
            found->second.state.identity == state.value().identity)
        {
            current = std::move(found->second);
        }
        current.state = state.value();
        current.revision = entry.modification_revision;
        m_moves.insert_or_assign(state.value().route, std::move(current));
    }
    m_needs_read = false;
    return true;
}

void move_driver::start_declared(const domain::configuration& declared)
{
    for (const domain::move_declaration& move : declared.moves)
    {
        const auto found = m_moves.find(move.route);
        const bool is_started =
            found != m_moves.end() &&
            found->second.state.identity == domain::identity_of(move);
        const bool is_other_move_active =
            found != m_moves.end() &&
            !domain::is_final(found->second.state.phase);
        if (is_started || is_other_move_active || move.steps.empty())
        {
            continue;
        }
        tracked_move new_move;
        new_move.revision = found == m_moves.end() ? 0 : found->second.revision;
        domain::move_state state = domain::initial_state(move);
        state.fencing = *m_fencing;
        if (store(new_move, state))
        {
            m_moves.insert_or_assign(move.route, std::move(new_move));
        }
    }
}

void move_driver::collect(const std::vector<std::string>& routers)
{
    domain::evidence_request request;
    request.fencing = *m_fencing;
    for (const auto& [route, current] : m_moves)
    {
        if (!domain::is_final(current.state.phase))
        {
            request.questions.push_back({route, current.state.identity,
                                         current.state.limits,
                                         current.cut_reason});
        }
    }
    m_evidence.collect(request, routers);
}

void move_driver::step_move(const domain::configuration& declared,
                            tracked_move& current)
{
    const domain::move_declaration* move =
        find_declaration(declared, current.state);
    if (move == nullptr)
    {
        step_withdrawn(current);
        return;
    }
    if (current.state.phase == domain::move_phase::waiting)
    {
        load_versions(declared, current);
    }
    const domain::move_input input = make_input(declared, current);
    std::optional<domain::move_state> next_state =
        m_state_machine.next(current.state, *move, input);
    if (!next_state)
    {
        return;
    }
    if (next_state->phase == domain::move_phase::rolling_back)
    {
        // The next evidence requests make the routers cut the version, even
        // when the state cannot be stored now.
        current.cut_reason = next_state->reason;
    }
    store(current, *next_state);
}

bool move_driver::claim(tracked_move& current)
{
    if (current.state.fencing >= *m_fencing ||
        domain::is_final(current.state.phase))
    {
        return true;
    }
    // A predecessor that was paused may still act as the leader. Once the
    // stored state has this leader's fencing number, the predecessor can store
    // no further step.
    domain::move_state next_state = current.state;
    next_state.fencing = *m_fencing;
    next_state.sequence = current.state.sequence + 1;
    return store(current, next_state) || m_needs_read;
}

void move_driver::step_withdrawn(tracked_move& current)
{
    if (domain::is_final(current.state.phase))
    {
        const std::string key = codecs::move_key_of(current.state.route);
        if (m_store.compare_and_delete(key, current.revision))
        {
            current.revision = 0;
            return;
        }
        m_needs_read = true;
        return;
    }
    domain::move_input input;
    input.now = m_clock.system_now();
    input.fencing = *m_fencing;
    std::optional<domain::move_state> next_state =
        m_state_machine.roll_back(current.state, input, withdrawn_reason);
    if (!next_state)
    {
        next_state = m_state_machine.next(current.state,
                                          domain::move_declaration{}, input);
    }
    if (next_state)
    {
        store(current, *next_state);
    }
}

void move_driver::load_versions(const domain::configuration& declared,
                                tracked_move& current)
{
    domain::move_state next_state = current.state;
    for (const domain::upstream_declaration* upstream :
         engines_to_load(declared, current.state))
    {
        if (!has_loaded(current.state, upstream->name) &&
            m_load_orders.ensure_loaded(*upstream, current.state.to_version))
        {
            next_state.ready_upstreams.push_back(upstream->name);
        }
    }
    if (next_state.ready_upstreams.size() ==
        current.state.ready_upstreams.size())
    {
        return;
    }
    next_state.sequence = current.state.sequence + 1;
    next_state.fencing = *m_fencing;
    store(current, next_state);
}

domain::move_input
move_driver::make_input(const domain::configuration& declared,
                        tracked_move& current)
{
    const fleet_evidence evidence =
        m_evidence.evidence_of(current.state.identity);
    domain::move_input input;
    input.now = m_clock.system_now();
    input.fencing = *m_fencing;
    input.has_fresh_evidence = m_evidence.is_fresh(m_routers) && !m_needs_read;
    input.are_upstreams_ready =
        have_all_engines_loaded(declared, current.state);
    input.cut_reason = evidence.cut_reason;
    input.from_evidence = evidence.from_evidence;
    const domain::move_declaration* move =
        find_declaration(declared, current.state);
    if (current.state.share > 0 && move != nullptr)
    {
        input.verdict = judge(current, evidence.tally, *move);
    }
    return input;
}

domain::version_verdict
move_driver::judge(tracked_move& current, const domain::tally_pair& tally,
                   const domain::move_declaration& declared)
{
    if (!current.judge)
    {
        current.judge.emplace(m_settings.judge, domain::tally_pair{});
        current.window_started_at = m_clock.steady_now();
    }
    const domain::version_verdict verdict = current.judge->judge(tally);
    const auto interval =
        (declared.deadline - declared.start) /
        static_cast<std::int64_t>(m_settings.judge.planned_windows);
    if (m_clock.steady_now() - current.window_started_at >= interval)
    {
        current.judge->start_window(tally);
        current.window_started_at = m_clock.steady_now();
    }
    return verdict;
}

bool move_driver::store(tracked_move& current,
                        const domain::move_state& next_state)
{
    if (m_needs_read || m_sources.fencing() != m_fencing)
    {
        return false;
    }
    const result<ports::revision> written = m_store.compare_and_swap(
        codecs::move_key_of(next_state.route), codecs::encode(next_state),
        current.revision, 0);
    if (!written)
    {
        m_needs_read = true;
        return false;
    }
    current.state = next_state;
    current.revision = written.value();
    log_step(next_state);
    count_end(next_state);
    return true;
}

void move_driver::count_ended_moves_in(metrics::family<metrics::counter>& moves)
{
    m_ended_moves = &moves;
}

void move_driver::count_end(const domain::move_state& next_state)
{
    const bool is_finished = next_state.phase == domain::move_phase::finished;
    const bool is_rolling_back =
        next_state.phase == domain::move_phase::rolling_back;
    if (m_ended_moves == nullptr || (!is_finished && !is_rolling_back) ||
        next_state.reason == withdrawn_reason)
    {
        return;
    }
    const bool is_late = next_state.reason == domain::deadline_reason;
    const std::string failed_outcome = is_late ? "late" : "bad";
    m_ended_moves
        ->with_labels(
            {next_state.route, is_finished ? "on_time" : failed_outcome})
        .add();
}

void move_driver::log_step(const domain::move_state& next_state)
{
    log_event event = log_event::move_stepped;
    if (next_state.phase == domain::move_phase::finished)
    {
        event = log_event::move_finished;
    }
    if (next_state.phase == domain::move_phase::rolling_back)
    {
        event = log_event::move_taken_back;
    }
    m_log.write(log_level::info, event,
                {{"route", next_state.route},
                 {"version", next_state.to_version},
                 {"phase", std::string(name_of(next_state.phase))},
                 {"share", std::int64_t{next_state.share}},
                 {"fencing", next_state.fencing},
                 {"reason", next_state.reason}});
}

} // namespace turmeric::drivers
