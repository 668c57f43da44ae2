#pragma once

#include "bench/budget/measure.hpp"
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
/// clock, under generated requests and one fault schedule. The same options
/// give the same figures. Not thread safe.
class simulation
{
public:
    explicit simulation(const bench_options& options);

    /// Runs to the end and returns the figures.
    measure run();

private:
    struct request
    {
        std::string id;
        std::int32_t account = 0;
        std::int32_t caller_side = 0;
        domain::tokens bound = 0;
        domain::tokens used = 0;
        ports::steady_time deadline;
        ports::steady_time ends;
        ports::steady_time settled_at;
        domain::hold_id hold = 0;
        std::int32_t tries = 0;
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
        /// By hold.
        std::map<domain::hold_id, request> settling;
        std::map<std::int32_t, ports::steady_time> paces;
        std::int32_t side = 0;
        bool is_paused = false;
    };

    struct origin
    {
        std::int32_t router = 0;
        std::string name;
        std::int64_t operation = 0;
        std::vector<domain::pending_bill> bills;
        ports::steady_time sent_at;
    };

    struct call
    {
        ports::steady_time ends;
        domain::shard_call_kind kind = domain::shard_call_kind::read;
        result<ports::revision> written = ports::revision(0);
        std::optional<ports::key_value> found;
        std::optional<result_code> failure;
    };

    /// The writer of one shard in one process.
    struct shard_place
    {
        std::int32_t shard = 0;
        std::int32_t router = 0;
        std::unique_ptr<domain::shard_writer> writer;
        std::map<domain::submission_number, origin> origins;
        std::optional<call> under_way;
    };

    void fill_budgets();
    void split_budgets();
    void for_each_split(bool is_last);
    void start_router(std::int32_t index);
    void step();
    void step_faults();
    void run_stage(const std::string& what);
    void replace_fenced(std::int32_t index);
    void arrive();
    void route(request made);
    void try_place(std::int32_t index);
    void refuse(const request& refused, const error& why);
    void end_runs(std::int32_t index);
    void copy_bills(std::int32_t index);
    void send_batches(std::int32_t index);
    void withdraw_late(shard_place& place);
    void step_writers();
    void step_writer(shard_place& place);
    void start_call(shard_place& place);
    void end_call(shard_place& place);
    void note_charges(const shard_place& place);
    void answer(shard_place& place,
                const std::vector<domain::submission_reply>& replies);
    void take_receipts(std::int32_t index,
                       const std::vector<domain::bill_receipt>& receipts);
    void crash(std::int32_t index);
    void reclaim(const std::string& name, bool is_closing);
    void top_up(std::int32_t account, domain::tokens amount);
    void sample();
    void finish();
    shard_place& place_for(std::int32_t shard, std::int32_t index);
    [[nodiscard]] bool is_cut(std::int32_t index) const;
    [[nodiscard]] std::int32_t choose_router(const request& made);
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
    std::map<std::pair<std::int32_t, std::int32_t>, shard_place> m_places;
    std::pair<std::int32_t, std::int32_t> m_first_place{-1, -1};
    std::vector<std::string> m_names;
    std::vector<std::int32_t> m_shards;
    std::vector<domain::tokens> m_totals;
    /// Used or reserved by each account, as an ideal ledger would know.
    std::vector<domain::tokens> m_spent;
    /// Tokens of falsely refused requests.
    std::vector<domain::tokens> m_ideal;
    std::map<std::uint64_t, int> m_charged;
    std::map<std::uint64_t, bool> m_delivered;
    std::map<std::string, std::int64_t> m_applied;
    std::vector<request> m_retries;
    std::vector<domain::tokens> m_cut_start;
    std::vector<domain::tokens> m_cut_demand;
    std::vector<domain::tokens> m_cut_spent;
    std::string m_dead;
    std::int64_t m_next_request = 0;
    std::int32_t m_next_incarnation = 0;
    std::int32_t m_fault_stage = 0;
    std::int32_t m_next_top_up = 0;
    bool m_is_partitioned = false;
    bool m_is_out = false;
    double m_lost_part = 0.0;
    measure m_measure;
};

} // namespace turmeric::bench
