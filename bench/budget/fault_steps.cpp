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
    m_dead = dead.name;
    std::vector<request> lost;
    for (request& made : dead.running)
    {
        m_spent[static_cast<std::size_t>(made.account)] -= made.bound;
        lost.push_back(made);
    }
    for (auto& [hold, made] : dead.settling)
    {
        const std::size_t account = static_cast<std::size_t>(made.account);
        const std::uint64_t key = domain::bill_key(m_names[account], made.id);
        m_spent[account] -= m_charged.count(key) == 0 ? made.used : 0;
        lost.push_back(made);
    }
    for (request& made : lost)
    {
        ++made.tries;
        made.ends = m_clock.steady_now() + std::chrono::seconds(1);
        m_retries.push_back(made);
    }
    for (auto place = m_places.begin(); place != m_places.end();)
    {
        if (place->second.router != index)
        {
            ++place;
            continue;
        }
        for (auto& [number, from] : place->second.origins)
        {
            router& owner = m_routers[static_cast<std::size_t>(from.router)];
            if (owner.name == from.name)
            {
                owner.ledger->on_unresolved(place->second.shard);
            }
        }
        place = m_places.erase(place);
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
        const domain::change made =
            is_closing ? close_incarnation(value, name, date, freeze_time)
                       : freeze_incarnation(value, name, date);
        if (made == domain::change::made)
        {
            static_cast<void>(
                m_store.compare_and_swap(key, codecs::encode_shard(value),
                                         found->modification_revision, 0));
        }
    }
}

void simulation::top_up(std::int32_t account, tokens amount)
{
    const std::size_t place = static_cast<std::size_t>(account);
    const std::string key = drivers::store_committer::key_of(m_shards[place]);
    const std::optional<ports::key_value> found = m_store.get(key).value();
    domain::budget_shard value =
        std::move(codecs::decode_shard(found->value).value());
    const std::string id = "more-" + std::to_string(m_next_top_up++);
    static_cast<void>(apply_top_up(
        value, {m_names[place], "main", id, amount},
        std::chrono::time_point_cast<std::chrono::seconds>(now().system),
        domain::shard_limits{}));
    if (m_store.compare_and_swap(key, codecs::encode_shard(value),
                                 found->modification_revision, 0))
    {
        m_totals[place] += amount;
    }
}

void simulation::step_faults()
{
    struct stage
    {
        std::chrono::seconds at;
        std::string what;
    };
    const std::chrono::seconds whole = m_options.duration;
    std::vector<stage> stages;
    const std::string& fault = m_options.fault;
    m_lost_part = fault == "lost_replies" ? 0.2 : m_lost_part;
    if (fault == "crash" || fault == "chaos")
    {
        stages.push_back({whole / 3, "crash"});
        stages.push_back({whole / 3 + lease_time, "freeze"});
        stages.push_back({whole / 3 + lease_time + freeze_time, "close"});
    }
    if (fault == "outage" || fault == "chaos")
    {
        const bool is_alone = fault == "outage";
        stages.push_back({is_alone ? whole / 3 : whole / 2, "outage"});
        stages.push_back({is_alone ? 2 * whole / 3 : 3 * whole / 5, "heal"});
    }
    if (fault == "pause" || fault == "chaos")
    {
        const std::chrono::seconds at =
            fault == "pause" ? whole / 3 : 7 * whole / 10;
        stages.push_back({at, "pause"});
        stages.push_back({at + retry_time, "retry_paused"});
        stages.push_back({at + lease_time, "freeze"});
        stages.push_back({at + lease_time + freeze_time, "close"});
        stages.push_back(
            {at + lease_time + freeze_time + std::chrono::seconds(5), "thaw"});
    }
    if (fault == "partition" || fault == "top_up_partition")
    {
        stages.push_back({std::min(partition_warm_up, whole / 10), "cut"});
        if (fault == "top_up_partition")
        {
            stages.push_back({whole / 2, "top_up"});
        }
        stages.push_back({whole - std::min(partition_end, whole / 10), "join"});
    }
    m_lost_part = fault == "chaos" ? 0.1 : m_lost_part;
    std::stable_sort(stages.begin(), stages.end(),
                     [](const stage& left, const stage& right)
                     { return left.at < right.at; });
    while (static_cast<std::size_t>(m_fault_stage) < stages.size() &&
           elapsed() >= stages[static_cast<std::size_t>(m_fault_stage)].at)
    {
        run_stage(stages[static_cast<std::size_t>(m_fault_stage)].what);
        ++m_fault_stage;
    }
}

void simulation::run_stage(const std::string& what)
{
    router& second = m_routers[1 % m_routers.size()];
    if (what == "crash")
    {
        crash(0);
    }
    if (what == "freeze" || what == "close")
    {
        reclaim(m_dead, what == "close");
    }
    if (what == "outage" || what == "heal")
    {
        m_is_out = what == "outage";
    }
    if (what == "pause")
    {
        second.is_paused = true;
        m_dead = second.name;
    }
    if (what == "retry_paused")
    {
        // Callers give up on the silent router and repeat their requests.
        std::vector<request> lost = second.running;
        for (const auto& [hold, made] : second.settling)
        {
            lost.push_back(made);
        }
        for (request& made : lost)
        {
            ++made.tries;
            made.ends = m_clock.steady_now();
            m_retries.push_back(made);
        }
    }
    if (what == "thaw")
    {
        second.is_paused = false;
    }
    if (what == "cut" || what == "join")
    {
        m_is_partitioned = what == "cut";
        for (std::size_t i = 0; i < m_names.size() && what == "cut"; ++i)
        {
            m_cut_start[i] = m_totals[i] - m_spent[i];
        }
    }
    for (std::int32_t i = 0; i < m_options.accounts && what == "top_up"; ++i)
    {
        top_up(i, m_totals[static_cast<std::size_t>(i)] / 4);
    }
}

} // namespace turmeric::bench
