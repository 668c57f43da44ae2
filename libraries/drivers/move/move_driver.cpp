#include "libraries/drivers/move/move_driver.hpp"

#include "libraries/codecs/move/move_state_codec.hpp"
#include "libraries/drivers/move/move_targets.hpp"

#include <utility>

namespace turmeric::drivers
{

namespace
{

/// Why a move whose declaration is gone was taken back.
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
    , m_machine(settings.moves)
    , m_evidence(peers, clock, settings)
    , m_orders(orders, clock, log, settings, m_sources.fencing,
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
        // In an outage the judgement goes on with the states known so far:
        // routers can still be told to cut.
        read_states();
    }
    const domain::configuration declared = m_sources.configuration();
    start_declared(declared);
    for (auto& [route, current] : m_tracks)
    {
        if (claim(current))
        {
            step_track(declared, current);
        }
    }
    std::erase_if(m_tracks,
                  [](const auto& entry) { return entry.second.revision == 0; });
}

void move_driver::begin_term(std::int64_t fencing)
{
    m_tracks.clear();
    m_evidence.clear();
    m_orders.begin_term(fencing);
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
    std::map<std::string, track> known = std::move(m_tracks);
    m_tracks.clear();
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
        // The judge's marks outlast a read; a write of unknown outcome is
        // resolved by what is stored now.
        track current;
        const auto before = known.find(state.value().route);
        if (before != known.end() &&
            before->second.state.identity == state.value().identity)
        {
            current = std::move(before->second);
        }
        current.state = state.value();
        current.revision = entry.modification_revision;
        m_tracks.insert_or_assign(state.value().route, std::move(current));
    }
    m_needs_read = false;
    return true;
}

void move_driver::start_declared(const domain::configuration& declared)
{
    for (const domain::move_declaration& move : declared.moves)
    {
        const auto found = m_tracks.find(move.route);
        const bool is_known =
            found != m_tracks.end() &&
            found->second.state.identity == domain::identity_of(move);
        const bool is_blocked = found != m_tracks.end() &&
                                !domain::is_final(found->second.state.phase);
        if (is_known || is_blocked || move.steps.empty())
        {
            continue;
        }
        track fresh;
        fresh.revision = found == m_tracks.end() ? 0 : found->second.revision;
        domain::move_state state = domain::initial_state(move);
        state.fencing = *m_fencing;
        if (store(fresh, state))
        {
            m_tracks.insert_or_assign(move.route, std::move(fresh));
        }
    }
}

void move_driver::collect(const std::vector<std::string>& routers)
{
    domain::evidence_request request;
    request.fencing = *m_fencing;
    for (const auto& [route, current] : m_tracks)
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

void move_driver::step_track(const domain::configuration& declared,
                             track& current)
{
    const domain::move_declaration* move =
        find_declared(declared, current.state);
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
    std::optional<domain::move_state> made =
        m_machine.next(current.state, *move, input);
    if (!made)
    {
        return;
    }
    if (made->phase == domain::move_phase::rolling_back)
    {
        // The routers are told with the next questions, also when the store
        // cannot take the state now.
        current.cut_reason = made->reason;
    }
    store(current, *made);
}

bool move_driver::claim(track& current)
{
    if (current.state.fencing >= *m_fencing ||
        domain::is_final(current.state.phase))
    {
        return true;
    }
    // A predecessor that was paused may still believe that it leads; once the
    // state carries this number, no step of its own can follow.
    domain::move_state made = current.state;
    made.fencing = *m_fencing;
    made.sequence = current.state.sequence + 1;
    return store(current, made) || m_needs_read;
}

void move_driver::step_withdrawn(track& current)
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
    std::optional<domain::move_state> made =
        m_machine.roll_back(current.state, input, withdrawn_reason);
    if (!made)
    {
        made = m_machine.next(current.state, domain::move_declaration{}, input);
    }
    if (made)
    {
        store(current, *made);
    }
}

void move_driver::load_versions(const domain::configuration& declared,
                                track& current)
{
    domain::move_state made = current.state;
    for (const domain::upstream_declaration* upstream :
         engines_of(declared, current.state))
    {
        if (!is_ready(current.state, upstream->name) &&
            m_orders.load(*upstream, current.state.to_version))
        {
            made.ready_upstreams.push_back(upstream->name);
        }
    }
    if (made.ready_upstreams.size() == current.state.ready_upstreams.size())
    {
        return;
    }
    made.sequence = current.state.sequence + 1;
    made.fencing = *m_fencing;
    store(current, made);
}

domain::move_input
move_driver::make_input(const domain::configuration& declared, track& current)
{
    const fleet_evidence known = m_evidence.of(current.state.identity);
    domain::move_input input;
    input.now = m_clock.system_now();
    input.fencing = *m_fencing;
    input.has_fresh_evidence = m_evidence.is_fresh(m_routers) && !m_needs_read;
    input.are_upstreams_ready = are_engines_ready(declared, current.state);
    input.cut_reason = known.cut_reason;
    input.from_evidence = known.from_evidence;
    const domain::move_declaration* move =
        find_declared(declared, current.state);
    if (current.state.share > 0 && move != nullptr)
    {
        input.verdict = judge(current, known.tally, *move);
    }
    return input;
}

domain::version_verdict
move_driver::judge(track& current, const domain::tally_pair& tally,
                   const domain::move_declaration& declared)
{
    if (!current.judge)
    {
        current.judge.emplace(m_settings.judge, domain::tally_pair{});
        current.marked = m_clock.steady_now();
    }
    const domain::version_verdict verdict = current.judge->judge(tally);
    const auto interval =
        (declared.deadline - declared.start) /
        static_cast<std::int64_t>(m_settings.judge.planned_windows);
    if (m_clock.steady_now() - current.marked >= interval)
    {
        current.judge->start_window(tally);
        current.marked = m_clock.steady_now();
    }
    return verdict;
}

bool move_driver::store(track& current, const domain::move_state& made)
{
    if (m_needs_read || m_sources.fencing() != m_fencing)
    {
        return false;
    }
    const result<ports::revision> written =
        m_store.compare_and_swap(codecs::move_key_of(made.route),
                                 codecs::encode(made), current.revision, 0);
    if (!written)
    {
        m_needs_read = true;
        return false;
    }
    current.state = made;
    current.revision = written.value();
    log_step(made);
    count_end(made);
    return true;
}

void move_driver::count_moves_in(metrics::family<metrics::counter>& moves)
{
    m_moves = &moves;
}

void move_driver::count_end(const domain::move_state& made)
{
    const bool is_finished = made.phase == domain::move_phase::finished;
    const bool is_back = made.phase == domain::move_phase::rolling_back;
    if (m_moves == nullptr || (!is_finished && !is_back) ||
        made.reason == withdrawn_reason)
    {
        return;
    }
    const bool is_late = made.reason == domain::deadline_reason;
    const std::string ended = is_late ? "late" : "bad";
    m_moves->with_labels({made.route, is_finished ? "on_time" : ended}).add();
}

void move_driver::log_step(const domain::move_state& made)
{
    log_event event = log_event::move_stepped;
    if (made.phase == domain::move_phase::finished)
    {
        event = log_event::move_finished;
    }
    if (made.phase == domain::move_phase::rolling_back)
    {
        event = log_event::move_taken_back;
    }
    m_log.write(log_level::info, event,
                {{"route", made.route},
                 {"version", made.to_version},
                 {"phase", std::string(name_of(made.phase))},
                 {"share", std::int64_t{made.share}},
                 {"fencing", made.fencing},
                 {"reason", made.reason}});
}

} // namespace turmeric::drivers
