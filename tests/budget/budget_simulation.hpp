#pragma once

#include "libraries/domain/budget/router_ledger.hpp"
#include "libraries/domain/budget/shard_changes.hpp"
#include "libraries/domain/budget/shard_writer.hpp"
#include "libraries/fakes/manual_clock.hpp"

#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <vector>

namespace turmeric::tests
{

/// One step of a random interleaving. `kind` selects the action; `first`,
/// `second` and `amount` select its router, its object and its variant or
/// quantity, and are reduced to the valid range.
struct simulation_command
{
    int kind = 0;
    int first = 0;
    int second = 0;
    int amount = 0;
};

/// Prints a command, for the report of a failing case.
std::ostream& operator<<(std::ostream& out, const simulation_command& command);

/// Simulates routers, their shard writers and one shard in a store with faults,
/// one step at a time. Checks the invariants of budgets and bills after each
/// step and keeps the first violation.
class budget_simulation
{
public:
    budget_simulation();

    /// Runs one command.
    void run(const simulation_command& command);

    /// Delivers the delayed writes, settles and drains all routers without
    /// further faults, and checks that they are drained.
    void finish();

    /// Returns the description of the first violation, or an empty text.
    [[nodiscard]] const std::string& first_violation() const;

    static constexpr int command_kind_count = 24;

private:
    struct open_request
    {
        domain::hold_id hold = 0;
        std::uint64_t key = 0;
        domain::tokens bound = 0;
    };

    struct router
    {
        std::string name;
        std::unique_ptr<domain::router_ledger> ledger;
        std::unique_ptr<domain::shard_writer> writer;
        std::optional<domain::submission_number> submission;
        std::vector<open_request> open;
        std::vector<domain::hold_request> waiting;
        std::chrono::seconds skew{0};
    };

    struct delayed_write
    {
        domain::budget_shard value;
        ports::revision expected = 0;
    };

    struct charge
    {
        int count = 0;
        domain::sys_seconds charged_at{};
    };

    void restart_router(std::size_t index);
    void place_hold(const simulation_command& command);
    bool try_place_hold(router& chosen, const domain::hold_request& request);
    void retry_waiting(router& chosen);
    void settle(const simulation_command& command);
    void release(const simulation_command& command);
    void submit_batch(const simulation_command& command);
    void call_store(const simulation_command& command);
    void write_store(router& chosen, const domain::shard_call& call, int fault);
    void deliver_delayed_writes();
    void duplicate_batch(const simulation_command& command);
    void crash(const simulation_command& command);
    void top_up(const simulation_command& command);
    void reclaim(const simulation_command& command);
    void advance(const simulation_command& command);
    void skew(const simulation_command& command);
    bool compare_and_swap(const domain::budget_shard& value,
                          ports::revision expected);
    void record_charges(const domain::budget_shard& value);
    void deliver_replies(router& chosen,
                         const std::vector<domain::submission_reply>& replies);
    void check_receipts(const std::vector<domain::bill_receipt>& receipts,
                        bool is_open);
    void check_shard();
    void record_violation(const std::string& what);
    [[nodiscard]] domain::ledger_time now_for(const router& chosen) const;
    [[nodiscard]] domain::sys_seconds system_seconds() const;
    router& router_at(int number);
    bool is_repeat_allowed(std::uint64_t key) const;

    fakes::manual_clock m_clock;
    domain::rate_share_policy m_policy;
    domain::shard_limits m_limits;
    domain::budget_shard m_stored;
    ports::revision m_revision = 0;
    std::vector<router> m_routers;
    std::vector<delayed_write> m_delayed_writes;
    std::vector<domain::router_batch> m_submitted_batches;
    /// Incarnations that a controller closed.
    std::set<std::string> m_closed_incarnations;
    std::map<std::uint64_t, charge> m_charges;
    std::map<std::uint64_t, int> m_run_counts;
    int m_next_incarnation = 0;
    int m_next_top_up = 0;
    std::string m_first_violation;
};

} // namespace turmeric::tests
