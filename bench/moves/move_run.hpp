#pragma once

#include "bench/moves/move_scenario.hpp"
#include "bench/moves/verdict_policy.hpp"
#include "bench/moves/version_model.hpp"
#include "libraries/domain/move/move_guard.hpp"
#include "libraries/domain/move/move_state_machine.hpp"
#include "libraries/fakes/manual_clock.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace turmeric::bench
{

/// The outcome of one move.
struct move_outcome
{
    version_kind kind = version_kind::good;
    bool is_finished_in_time = false;
    bool is_rolled_back = false;
    /// Rolled back because of its deadline alone, not because of evidence.
    bool is_deadline_rollback = false;
    std::string reason;
    /// Whether the new version was bad at any time while it had traffic.
    bool was_bad = false;
    std::int64_t requests = 0;
    /// Requests that the new version served while it was bad.
    std::int64_t bad_requests = 0;
    /// Bad requests that were dispatched more than 2 s after the evidence
    /// sufficed for a verdict.
    std::int64_t after_evidence_requests = 0;
    /// Of these, the requests dispatched while no controller was leading or
    /// within the 2 s after.
    std::int64_t after_evidence_leaderless_requests = 0;
};

/// Steps the controller and router logic of one fleet through one move on one
/// route, on a manual clock in ticks of 100 ms. Not thread safe.
class move_run
{
public:
    /// Prepares a run. Precondition: `scenario` and `profile` outlive it, and
    /// `make_policy` knows `policy_name`.
    move_run(const move_scenario& scenario, const traffic_profile& profile,
             std::string policy_name, std::uint64_t seed);

    /// Runs the move until its deadline or until it is rolled back. Call it
    /// once.
    move_outcome run();

private:
    struct dispatched_request
    {
        double ends_at_s;
        std::size_t router;
        bool is_new;
        domain::request_observation observation;
    };

    void dispatch_tick();
    void dispatch_one();
    void count_bad_request();
    void record_ended_requests();
    void deliver_state();
    void step_controller();
    [[nodiscard]] domain::move_input make_input();
    void record_evidence_time();
    [[nodiscard]] double now_s() const;

    const move_scenario& m_scenario;
    const traffic_profile& m_profile;
    const std::string m_policy_name;
    std::mt19937_64 m_random;
    version_model m_model;
    fakes::manual_clock m_clock;
    ports::system_time m_start;
    domain::move_declaration m_declaration;
    domain::move_state_machine m_state_machine;
    /// The state in the store; routers receive it after a delay.
    domain::move_state m_state;
    std::deque<std::pair<double, domain::move_state>> m_in_delivery;
    std::vector<domain::move_guard> m_guards;
    std::unique_ptr<verdict_policy> m_policy;
    /// Judges each ended request without the delay of polls, to find out when
    /// the evidence sufficed for a verdict.
    sequential_policy m_immediate_judge;
    /// Requests in flight, in a ring buffer indexed by the tick of their end.
    std::vector<std::vector<dispatched_request>> m_requests_by_end_tick;
    std::size_t m_tick = 0;
    domain::version_evidence m_from_evidence;
    domain::tally_pair m_tallies;
    std::string m_cut_reason;
    std::optional<double> m_evidence_at_s;
    std::optional<double> m_soak_start_s;
    bool m_had_controller = true;
    move_outcome m_outcome;
};

} // namespace turmeric::bench
