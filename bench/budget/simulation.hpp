#pragma once

#include "bench/budget/budget_figures.hpp"
#include "bench/budget/options.hpp"
#include "libraries/domain/budget/call_rate_limiter.hpp"
#include "libraries/domain/budget/shard_writer.hpp"
#include "libraries/fakes/fake_key_value_store.hpp"
#include "libraries/fakes/manual_clock.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace turmeric::bench
{

/// Steps router ledgers and shard writers against the fake store on a manual
/// clock, with generated requests and one fault schedule. Runs with equal
/// options give equal figures. Not thread safe.
class simulation
{
public:
    /// Prepares a run and stores the initial budgets in the fake store.
    explicit simulation(const bench_options& options);

    /// Runs for the duration in the options and returns the figures. Call it
    /// once.
    budget_figures run();

private:
    struct request
    {
        std::string id;
        std::int32_t account = 0;
        /// Side of a partition that the caller is on, 0 or 1.
        std::int32_t caller_side = 0;
        domain::tokens max_tokens = 0;
        domain::tokens used_tokens = 0;
        ports::steady_time deadline;
        /// When the response ends or, of a pending retry, when it is due.
        ports::steady_time ends_at;
        ports::steady_time settled_at;
        domain::hold_id hold = 0;
        std::int32_t retry_count = 0;
        bool is_delivered = false;
    };

    struct sent_batch
    {
        std::int32_t shard = 0;
        std::int32_t writer = 0;
        std::int64_t operation = 0;
    };

    struct router
    {
        std::string name;
        std::unique_ptr<domain::router_ledger> ledger;
        std::vector<request> waiting;
        std::vector<request> running;
        /// Requests whose bill is not yet durable, by their hold.
        std::map<domain::hold_id, request> settling;
        /// By shard.
        std::map<std::int32_t, ports::steady_time> next_batch_at;
        /// Side of a partition that the router is on, 0 or 1.
        std::int32_t side = 0;
        bool is_paused = false;
    };

    struct submitted_batch
    {
        std::int32_t router = 0;
        /// The router's incarnation at the time of submission.
        std::string name;
        std::int64_t operation = 0;
        std::vector<domain::pending_bill> bills;
        ports::steady_time sent_at;
    };

    struct platform_call
    {
        ports::steady_time ends_at;
        domain::shard_call_kind kind = domain::shard_call_kind::read;
        result<ports::revision> written = ports::revision(0);
        std::optional<ports::key_value> found;
        std::optional<result_code> failure;
    };

    /// Commits the batches of one shard in one router process.
    struct shard_committer
    {
        std::int32_t shard = 0;
        std::int32_t router = 0;
        std::unique_ptr<domain::shard_writer> writer;
        std::map<domain::submission_number, submitted_batch> submitted_batches;
        std::optional<platform_call> call_in_progress;
    };

    void store_initial_budgets();
    void split_budgets();
    void place_split_holds(bool is_last);
    void start_router(std::int32_t index);
    void step();
    void step_faults();
    void run_fault_action(const std::string& action);
    void replace_fenced_router(std::int32_t index);
    void generate_requests();
    void assign_router(request caller_request);
    void try_place_holds(std::int32_t index);
    void refuse(const request& refused, const error& why);
    void end_requests(std::int32_t index);
    void replicate_bills(std::int32_t index);
    void submit_batches(std::int32_t index);
    void withdraw_overdue(shard_committer& committer);
    void step_committers();
    void step_committer(shard_committer& committer);
    void start_call(shard_committer& committer);
    void end_call(shard_committer& committer);
    void record_charges(const shard_committer& committer);
    void deliver_replies(shard_committer& committer,
                         const std::vector<domain::submission_reply>& replies);
    void apply_receipts(std::int32_t index,
                        const std::vector<domain::bill_receipt>& receipts);
    void crash(std::int32_t index);
    void reclaim(const std::string& name, bool is_closing);
    void top_up(std::int32_t account, domain::tokens amount);
    void sample();
    void finish();
    shard_committer& committer_for(std::int32_t shard, std::int32_t index);
    [[nodiscard]] bool is_cut_off(std::int32_t index) const;
    [[nodiscard]] std::int32_t choose_router(const request& caller_request);
    [[nodiscard]] domain::ledger_time now() const;
    [[nodiscard]] std::chrono::seconds elapsed() const;
    [[nodiscard]] domain::budget_shard read_shard(std::int32_t shard);
    [[nodiscard]] double account_rate(std::int32_t account) const;

    bench_options m_options;
    fakes::manual_clock m_clock;
    fakes::fake_key_value_store m_store;
    std::mt19937_64 m_random;
    std::unique_ptr<domain::grant_policy> m_policy;
    domain::call_rate_limiter m_limiter;
    ports::steady_time m_start;
    std::vector<router> m_routers;
    /// By shard and router.
    std::map<std::pair<std::int32_t, std::int32_t>, shard_committer>
        m_committers;
    /// The committer that the last step began with.
    std::pair<std::int32_t, std::int32_t> m_first_committer{-1, -1};
    std::vector<std::string> m_account_names;
    std::vector<std::int32_t> m_account_shards;
    std::vector<domain::tokens> m_topped_up_tokens;
    /// Tokens used or reserved by each account, as an ideal ledger that sees
    /// every hold at once would count them.
    std::vector<domain::tokens> m_spent_tokens;
    /// Tokens that falsely refused requests of each account would have used.
    std::vector<domain::tokens> m_falsely_refused_tokens;
    /// How often the store applied each bill, by bill key.
    std::map<std::uint64_t, int> m_charge_counts;
    std::map<std::uint64_t, bool> m_delivered_bills;
    /// The last operation applied for each incarnation and shard.
    std::map<std::string, std::int64_t> m_applied_operations;
    std::vector<request> m_pending_retries;
    /// For each account: the tokens left when the partition began, those that
    /// callers on the cut-off side requested, and those that its routers
    /// admitted.
    std::vector<domain::tokens> m_cut_off_start_tokens;
    std::vector<domain::tokens> m_cut_off_demand_tokens;
    std::vector<domain::tokens> m_cut_off_spent_tokens;
    /// The incarnation that crashed or was paused.
    std::string m_failed_router;
    std::int64_t m_next_request = 0;
    std::int32_t m_next_incarnation = 0;
    std::int32_t m_fault_stage = 0;
    std::int32_t m_next_top_up = 0;
    bool m_is_partitioned = false;
    bool m_is_store_unavailable = false;
    /// Fraction of the platform writes whose reply is lost.
    double m_lost_reply_fraction = 0.0;
    budget_figures m_figures;
};

} // namespace turmeric::bench
