#include "bench/budget/simulation.hpp"

#include "libraries/codecs/budget/shard_codec.hpp"
#include "libraries/domain/budget/shard_changes.hpp"
#include "libraries/drivers/budget/store_committer.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace turmeric::bench
{

using domain::tokens;

namespace
{

constexpr std::chrono::seconds lease_time(10);
constexpr std::chrono::seconds freeze_time(30);
constexpr std::chrono::seconds retry_time(10);
constexpr std::chrono::seconds partition_warm_up(300);
constexpr std::chrono::seconds partition_end(60);

} // namespace

void simulation::crash(std::int32_t index)
{
    router& dead = m_routers[static_cast<std::size_t>(index)];
    m_failed_router = dead.name;
    std::vector<request> lost;
    for (request& caller_request : dead.running)
    {
        m_spent_tokens[static_cast<std::size_t>(caller_request.account)] -=
            caller_request.max_tokens;
        lost.push_back(caller_request);
    }
    for (auto& [hold, caller_request] : dead.settling)
    {
        const std::size_t account =
            static_cast<std::size_t>(caller_request.account);
        const std::uint64_t key =
            domain::bill_key(m_account_names[account], caller_request.id);
        m_spent_tokens[account] -=
            m_charge_counts.count(key) == 0 ? caller_request.used_tokens : 0;
        lost.push_back(caller_request);
    }
    for (request& caller_request : lost)
    {
        ++caller_request.retry_count;
        caller_request.ends_at = m_clock.steady_now() + std::chrono::seconds(1);
        m_pending_retries.push_back(caller_request);
    }
    for (auto committer = m_committers.begin();
         committer != m_committers.end();)
    {
        if (committer->second.router != index)
        {
            ++committer;
            continue;
        }
        for (auto& [number, from] : committer->second.submitted_batches)
        {
            router& owner = m_routers[static_cast<std::size_t>(from.router)];
            if (owner.name == from.name)
            {
                owner.ledger->on_unresolved(committer->second.shard);
            }
        }
        committer = m_committers.erase(committer);
    }
    start_router(index);
}

void simulation::reclaim(const std::string& name, bool is_closing)
{
    const domain::sys_seconds date =
        std::chrono::time_point_cast<std::chrono::seconds>(now().system);
    for (std::int32_t shard = 0; shard < m_options.shards; ++shard)
    {
        const std::string key = drivers::store_committer::key_of(shard);
        const std::optional<ports::key_value> found = m_store.get(key).value();
        domain::budget_shard value =
            std::move(codecs::decode_shard(found->value).value());
        const domain::change reclaimed =
            is_closing ? close_incarnation(value, name, date, freeze_time)
                       : freeze_incarnation(value, name, date);
        if (reclaimed == domain::change::made)
        {
            static_cast<void>(
                m_store.compare_and_swap(key, codecs::encode_shard(value),
                                         found->modification_revision, 0));
        }
    }
}

void simulation::top_up(std::int32_t account, tokens amount)
{
    const std::size_t index = static_cast<std::size_t>(account);
    const std::string key =
        drivers::store_committer::key_of(m_account_shards[index]);
    const std::optional<ports::key_value> found = m_store.get(key).value();
    domain::budget_shard value =
        std::move(codecs::decode_shard(found->value).value());
    const std::string id = "more-" + std::to_string(m_next_top_up++);
    static_cast<void>(apply_top_up(
        value, {m_account_names[index], "main", id, amount},
        std::chrono::time_point_cast<std::chrono::seconds>(now().system),
        domain::shard_limits{}));
    if (m_store.compare_and_swap(key, codecs::encode_shard(value),
                                 found->modification_revision, 0))
    {
        m_topped_up_tokens[index] += amount;
    }
}

void simulation::step_faults()
{
    struct stage
    {
        std::chrono::seconds at;
        std::string action;
    };
    const std::chrono::seconds duration = m_options.duration;
    std::vector<stage> stages;
    const std::string& fault = m_options.fault;
    m_lost_reply_fraction =
        fault == "lost_replies" ? 0.2 : m_lost_reply_fraction;
    if (fault == "crash" || fault == "chaos")
    {
        stages.push_back({duration / 3, "crash"});
        stages.push_back({duration / 3 + lease_time, "freeze"});
        stages.push_back({duration / 3 + lease_time + freeze_time, "close"});
    }
    if (fault == "outage" || fault == "chaos")
    {
        const bool is_alone = fault == "outage";
        stages.push_back({is_alone ? duration / 3 : duration / 2, "outage"});
        stages.push_back(
            {is_alone ? 2 * duration / 3 : 3 * duration / 5, "heal"});
    }
    if (fault == "pause" || fault == "chaos")
    {
        const std::chrono::seconds at =
            fault == "pause" ? duration / 3 : 7 * duration / 10;
        stages.push_back({at, "pause"});
        stages.push_back({at + retry_time, "retry_paused"});
        stages.push_back({at + lease_time, "freeze"});
        stages.push_back({at + lease_time + freeze_time, "close"});
        stages.push_back(
            {at + lease_time + freeze_time + std::chrono::seconds(5), "thaw"});
    }
    if (fault == "partition" || fault == "top_up_partition")
    {
        stages.push_back({std::min(partition_warm_up, duration / 10), "cut"});
        if (fault == "top_up_partition")
        {
            stages.push_back({duration / 2, "top_up"});
        }
        stages.push_back(
            {duration - std::min(partition_end, duration / 10), "join"});
    }
    m_lost_reply_fraction = fault == "chaos" ? 0.1 : m_lost_reply_fraction;
    std::stable_sort(stages.begin(), stages.end(),
                     [](const stage& left, const stage& right)
                     { return left.at < right.at; });
    while (static_cast<std::size_t>(m_fault_stage) < stages.size() &&
           elapsed() >= stages[static_cast<std::size_t>(m_fault_stage)].at)
    {
        run_fault_action(
            stages[static_cast<std::size_t>(m_fault_stage)].action);
        ++m_fault_stage;
    }
}

void simulation::run_fault_action(const std::string& action)
{
    router& second = m_routers[1 % m_routers.size()];
    if (action == "crash")
    {
        crash(0);
    }
    if (action == "freeze" || action == "close")
    {
        reclaim(m_failed_router, action == "close");
    }
    if (action == "outage" || action == "heal")
    {
        m_is_store_unavailable = action == "outage";
    }
    if (action == "pause")
    {
        second.is_paused = true;
        m_failed_router = second.name;
    }
    if (action == "retry_paused")
    {
        // Callers of the paused router time out and retry their requests.
        std::vector<request> lost = second.running;
        for (const auto& [hold, caller_request] : second.settling)
        {
            lost.push_back(caller_request);
        }
        for (request& caller_request : lost)
        {
            ++caller_request.retry_count;
            caller_request.ends_at = m_clock.steady_now();
            m_pending_retries.push_back(caller_request);
        }
    }
    if (action == "thaw")
    {
        second.is_paused = false;
    }
    if (action == "cut" || action == "join")
    {
        m_is_partitioned = action == "cut";
        for (std::size_t i = 0; i < m_account_names.size() && action == "cut";
             ++i)
        {
            m_cut_off_start_tokens[i] =
                m_topped_up_tokens[i] - m_spent_tokens[i];
        }
    }
    for (std::int32_t i = 0; i < m_options.accounts && action == "top_up"; ++i)
    {
        top_up(i, m_topped_up_tokens[static_cast<std::size_t>(i)] / 4);
    }
}

} // namespace turmeric::bench
