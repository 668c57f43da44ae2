#include "bench/budget/simulation.hpp"

#include "libraries/codecs/budget/shard_codec.hpp"
#include "libraries/drivers/budget/store_committer.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace turmeric::bench
{

using domain::tokens;

namespace
{

constexpr double average_tokens_per_request = 600.0;
constexpr double percent = 100.0;
constexpr double call_burst = 20.0;
constexpr std::chrono::seconds flush_time(240);
constexpr std::chrono::seconds sample_interval(5);

} // namespace

simulation::simulation(const bench_options& options)
    : m_options(options)
    , m_store(m_clock)
    , m_random(options.seed)
    , m_policy(make_policy(options))
    , m_limiter(options.platform_writes_per_second, call_burst)
    , m_start(m_clock.steady_now())
{
    m_routers.resize(static_cast<std::size_t>(options.routers));
    for (std::int32_t i = 0; i < options.routers; ++i)
    {
        start_router(i);
        m_routers[static_cast<std::size_t>(i)].side = i % 2;
    }
    store_initial_budgets();
}

void simulation::start_router(std::int32_t index)
{
    router& started_router = m_routers[static_cast<std::size_t>(index)];
    started_router.name = "r" + std::to_string(m_next_incarnation++);
    started_router.ledger = std::make_unique<domain::router_ledger>(
        ledger_settings(m_options), started_router.name, *m_policy);
    started_router.waiting.clear();
    started_router.running.clear();
    started_router.settling.clear();
    started_router.next_batch_at.clear();
}

double simulation::account_rate(std::int32_t account) const
{
    const double all = m_options.requests_per_second;
    if (m_options.accounts == 1)
    {
        return all;
    }
    return account == 0 ? all * m_options.skew
                        : all * (1.0 - m_options.skew) /
                              static_cast<double>(m_options.accounts - 1);
}

void simulation::store_initial_budgets()
{
    std::vector<domain::budget_shard> shards(
        static_cast<std::size_t>(m_options.shards));
    domain::shard_limits limits;
    limits.budgets = static_cast<std::size_t>(m_options.accounts) + 1;
    limits.top_ups = limits.budgets;
    const domain::sys_seconds date =
        std::chrono::time_point_cast<std::chrono::seconds>(now().system);
    for (std::int32_t i = 0; i < m_options.accounts; ++i)
    {
        const std::string name = "account-" + std::to_string(i);
        const std::int32_t shard = domain::shard_of(name, m_options.shards);
        const tokens total = std::max<tokens>(
            2000,
            static_cast<tokens>(account_rate(i) * average_tokens_per_request *
                                m_options.budget_seconds));
        const tokens spent = static_cast<tokens>(
            static_cast<double>(total) *
            (1.0 - m_options.budget_left_percent / percent));
        domain::budget_shard& value = shards[static_cast<std::size_t>(shard)];
        static_cast<void>(
            apply_top_up(value, {name, "main", "first", total}, date, limits));
        value.budgets.at(domain::budget_key(name, "main"))
            .settled_by_removed_grants = spent;
        m_account_names.push_back(name);
        m_account_shards.push_back(shard);
        m_topped_up_tokens.push_back(total);
        m_spent_tokens.push_back(spent);
    }
    m_falsely_refused_tokens.resize(m_account_names.size());
    m_cut_off_start_tokens.resize(m_account_names.size());
    m_cut_off_demand_tokens.resize(m_account_names.size());
    m_cut_off_spent_tokens.resize(m_account_names.size());
    for (std::int32_t shard = 0; shard < m_options.shards; ++shard)
    {
        static_cast<void>(m_store.compare_and_swap(
            drivers::store_committer::key_of(shard),
            codecs::encode_shard(shards[static_cast<std::size_t>(shard)]), 0,
            0));
    }
}

void simulation::split_budgets()
{
    constexpr int split_steps = 400;
    for (std::int32_t step_number = 0; step_number < split_steps; ++step_number)
    {
        place_split_holds(step_number == split_steps - 1);
        step();
    }
}

void simulation::place_split_holds(bool is_last)
{
    for (std::size_t account = 0; account < m_account_names.size(); ++account)
    {
        const tokens even_share =
            (m_topped_up_tokens[account] - m_spent_tokens[account]) /
            static_cast<tokens>(m_options.routers);
        const domain::hold_request split_request{
            m_account_names[account], "main", "split", 0, even_share};
        for (router& each : m_routers)
        {
            result<domain::hold_id> placed =
                each.ledger->place_hold(split_request, now());
            if (placed)
            {
                // The hold caused the grant; the hold itself is not needed.
                each.ledger->release(placed.value());
            }
            else if (is_last)
            {
                static_cast<void>(
                    each.ledger->cancel_wait(split_request, now()));
            }
        }
    }
}

domain::ledger_time simulation::now() const
{
    return {m_clock.steady_now(), m_clock.system_now()};
}

std::chrono::seconds simulation::elapsed() const
{
    return std::chrono::duration_cast<std::chrono::seconds>(
        m_clock.steady_now() - m_start);
}

bool simulation::is_cut_off(std::int32_t index) const
{
    return m_is_store_unavailable ||
           (m_is_partitioned &&
            m_routers[static_cast<std::size_t>(index)].side == 1);
}

budget_figures simulation::run()
{
    if (m_options.policy == "fixed_split")
    {
        split_budgets();
    }
    m_start = m_clock.steady_now();
    m_figures = {};
    const fakes::store_counts before = m_store.counts();
    std::chrono::seconds next_sample(0);
    while (elapsed() < m_options.duration)
    {
        step_faults();
        generate_requests();
        step();
        if (elapsed() >= next_sample)
        {
            sample();
            next_sample += std::max(sample_interval, m_options.duration / 40);
        }
    }
    const fakes::store_counts after = m_store.counts();
    m_figures.platform_bytes_written =
        after.bytes_written - before.bytes_written;
    m_figures.seconds = static_cast<double>(m_options.duration.count());
    const std::int64_t reads = m_figures.platform_reads;
    const std::int64_t writes = m_figures.platform_writes;
    finish();
    m_figures.platform_reads = reads;
    m_figures.platform_writes = writes;
    return m_figures;
}

void simulation::step()
{
    for (std::int32_t i = 0; i < m_options.routers; ++i)
    {
        if (m_routers[static_cast<std::size_t>(i)].is_paused)
        {
            continue;
        }
        try_place_holds(i);
        end_requests(i);
        replicate_bills(i);
        submit_batches(i);
        replace_fenced_router(i);
    }
    step_committers();
    m_clock.advance(m_options.tick);
}

void simulation::sample()
{
    tokens outstanding = 0;
    tokens left = 0;
    for (std::int32_t shard = 0; shard < m_options.shards; ++shard)
    {
        for (const auto& [name, account] : read_shard(shard).budgets)
        {
            outstanding += domain::outstanding_of(account);
            left +=
                domain::total_top_ups_of(account) - domain::settled_of(account);
        }
    }
    for (const router& each : m_routers)
    {
        const domain::ledger_counts counts = each.ledger->counts();
        outstanding -= counts.held + counts.unsettled;
    }
    m_figures.stranded_fractions.push_back(
        static_cast<double>(std::max<tokens>(outstanding, 0)) /
        static_cast<double>(std::max<tokens>(left, 1)));
}

domain::budget_shard simulation::read_shard(std::int32_t shard)
{
    const std::string key = drivers::store_committer::key_of(shard);
    result<ports::key_range> range = m_store.list(key);
    if (!range || range.value().entries.empty())
    {
        return {};
    }
    const std::string& text = range.value().entries.front().value;
    m_figures.max_value_bytes = std::max(
        m_figures.max_value_bytes, static_cast<std::int64_t>(text.size()));
    result<domain::budget_shard> decoded = codecs::decode_shard(text);
    return decoded ? std::move(decoded.value()) : domain::budget_shard{};
}

void simulation::finish()
{
    m_is_store_unavailable = false;
    m_is_partitioned = false;
    m_lost_reply_fraction = 0.0;
    tokens fair = 0;
    tokens spent = 0;
    std::int32_t cut_routers = 0;
    for (router& each : m_routers)
    {
        each.is_paused = false;
        cut_routers += each.side;
    }
    for (std::size_t i = 0; i < m_account_names.size(); ++i)
    {
        fair += std::min(m_cut_off_demand_tokens[i], m_cut_off_start_tokens[i] *
                                                         cut_routers /
                                                         m_options.routers);
        spent += m_cut_off_spent_tokens[i];
    }
    m_figures.spendable_percent =
        fair == 0
            ? -1.0
            : percent * static_cast<double>(spent) / static_cast<double>(fair);
    const ports::steady_time until = m_clock.steady_now() + flush_time;
    while (m_clock.steady_now() < until)
    {
        step();
    }
    for (const auto& [key, count] : m_charge_counts)
    {
        m_figures.billed_undelivered +=
            m_delivered_bills.count(key) == 0 ? 1 : 0;
        m_figures.double_billed += count > 1 ? 1 : 0;
    }
    for (const auto& [key, is_delivered] : m_delivered_bills)
    {
        m_figures.delivered_unbilled += m_charge_counts.count(key) == 0 ? 1 : 0;
    }
    for (std::int32_t shard = 0; shard < m_options.shards; ++shard)
    {
        for (const auto& [name, account] : read_shard(shard).budgets)
        {
            m_figures.overspend_tokens += std::max<tokens>(
                domain::settled_of(account) - domain::total_top_ups_of(account),
                0);
        }
    }
}

} // namespace turmeric::bench
