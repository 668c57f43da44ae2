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

/// How one move went.
struct move_outcome
{
    version_kind kind = version_kind::good;
    bool is_finished_in_time = false;
    bool is_rolled_back = false;
    /// Taken back for its deadline alone, not for its evidence.
    bool is_deadline_rollback = false;
    std::string reason;
    /// Whether the version was ever bad while it had traffic.
    bool was_bad = false;
    std::int64_t requests = 0;
    /// Served by the new version while it was bad.
    std::int64_t bad_requests = 0;
    /// Those that were dispatched over 2 s after the evidence was there.
    std::int64_t after_evidence_requests = 0;
    /// Of these, the ones while no controller led or within the 2 s after.
    std::int64_t after_evidence_leaderless_requests = 0;
};

/// Steps the decision objects of one fleet through one move on one route, by
/// a manual clock in ticks of 100 ms. Not thread safe.
class move_run
{
public:
    /// Prepares a run. Precondition: the arguments outlive it, and
    /// `policy_name` names a policy.
    move_run(const move_scenario& scenario, const traffic_profile& profile,
             std::string policy_name, std::uint64_t seed);

    /// Runs the move to its deadline or end. Call it once.
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
    /// As stored; routers get it after a delay.
    domain::move_state m_state;
    std::deque<std::pair<double, domain::move_state>> m_in_delivery;
    std::vector<domain::move_guard> m_guards;
    std::unique_ptr<verdict_policy> m_policy;
    /// Sees each request at once; tells when there was evidence.
    sequential_policy m_immediate_judge;
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
