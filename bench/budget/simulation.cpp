#include "bench/budget/simulation.hpp"

#include "libraries/codecs/budget/shard_codec.hpp"
#include "libraries/domain/digest.hpp"
#include "libraries/drivers/budget/store_committer.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace turmeric::bench
{

using domain::tokens;

namespace
{

constexpr tokens prompt_tokens = 200;
constexpr tokens answer_tokens = 800;
constexpr double average_used = 600.0;
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
    fill_budgets();
}

void simulation::start_router(std::int32_t index)
{
    router& made = m_routers[static_cast<std::size_t>(index)];
    made.name = "r" + std::to_string(m_next_incarnation++);
    made.ledger = std::make_unique<domain::router_ledger>(
        ledger_settings(m_options), made.name, *m_policy);
    made.waiting.clear();
    made.running.clear();
    made.settling.clear();
    made.paces.clear();
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

void simulation::fill_budgets()
{
    std::vector<domain::budget_shard> shards(
        static_cast<std::size_t>(m_options.shards));
    domain::shard_limits limits;
    limits.budgets = static_cast<std::size_t>(m_options.accounts) + 1;
    const domain::sys_seconds date =
        std::chrono::time_point_cast<std::chrono::seconds>(now().system);
    for (std::int32_t i = 0; i < m_options.accounts; ++i)
    {
        const std::string name = "account-" + std::to_string(i);
        const std::int32_t shard = domain::shard_of(name, m_options.shards);
        const tokens total = std::max<tokens>(
            2000, static_cast<tokens>(account_rate(i) * average_used *
                                      m_options.budget_seconds));
        const tokens spent =
            static_cast<tokens>(static_cast<double>(total) *
                                (1.0 - m_options.budget_left / percent));
        domain::budget_shard& value = shards[static_cast<std::size_t>(shard)];
        static_cast<void>(
            apply_top_up(value, {name, "main", "first", total}, date, limits));
        value.budgets.at(domain::budget_key(name, "main")).closed_settled =
            spent;
        m_names.push_back(name);
        m_shards.push_back(shard);
        m_totals.push_back(total);
        m_spent.push_back(spent);
    }
    m_ideal.resize(m_names.size());
    m_cut_start.resize(m_names.size());
    m_cut_demand.resize(m_names.size());
    m_cut_spent.resize(m_names.size());
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
    for (std::int32_t account = 0; account < m_options.accounts; ++account)
    {
        const std::size_t place = static_cast<std::size_t>(account);
        const tokens part = (m_totals[place] - m_spent[place]) /
                            static_cast<tokens>(m_options.routers);
        for (router& each : m_routers)
        {
            static_cast<void>(each.ledger->place_hold(
                {m_names[place], "main", "split", 0, part}, now()));
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

bool simulation::is_cut(std::int32_t index) const
{
    return m_is_out || (m_is_partitioned &&
                        m_routers[static_cast<std::size_t>(index)].side == 1);
}

measure simulation::run()
{
    if (m_options.policy == "fixed_split")
    {
        split_budgets();
    }
    const fakes::store_counts before = m_store.counts();
    std::chrono::seconds next_sample(0);
    while (elapsed() < m_options.duration)
    {
        step_faults();
        arrive();
        step();
        if (elapsed() >= next_sample)
        {
            sample();
            next_sample += std::max(sample_interval, m_options.duration / 40);
        }
    }
    const fakes::store_counts after = m_store.counts();
    m_measure.platform_bytes = after.bytes_written - before.bytes_written;
    m_measure.seconds = static_cast<double>(m_options.duration.count());
    const std::int64_t reads = m_measure.platform_reads;
    const std::int64_t writes = m_measure.platform_writes;
    finish();
    m_measure.platform_reads = reads;
    m_measure.platform_writes = writes;
    return m_measure;
}

void simulation::step()
{
    for (std::int32_t i = 0; i < m_options.routers; ++i)
    {
        if (m_routers[static_cast<std::size_t>(i)].is_paused)
        {
            continue;
        }
        try_place(i);
        end_runs(i);
        copy_bills(i);
        send_batches(i);
        replace_fenced(i);
    }
    step_writers();
    m_clock.advance(m_options.tick);
}

void simulation::replace_fenced(std::int32_t index)
{
    const router& each = m_routers[static_cast<std::size_t>(index)];
    const bool is_done =
        each.running.empty() && each.settling.empty() && each.waiting.empty();
    if (each.ledger->is_fenced() && is_done)
    {
        start_router(index);
    }
}

void simulation::arrive()
{
    const double expected =
        m_options.requests_per_second *
        std::chrono::duration<double>(m_options.tick).count();
    std::poisson_distribution<int> arrivals(expected);
    const int count = arrivals(m_random);
    for (int i = 0; i < count; ++i)
    {
        std::uniform_real_distribution<double> part(0.0, 1.0);
        request made;
        made.id = std::to_string(m_next_request++);
        const bool is_busiest =
            m_options.accounts == 1 || part(m_random) < m_options.skew;
        made.account = is_busiest
                           ? 0
                           : 1 + static_cast<std::int32_t>(
                                     m_random() % static_cast<std::uint64_t>(
                                                      m_options.accounts - 1));
        made.caller_side = static_cast<std::int32_t>(
            m_random() % static_cast<std::uint64_t>(m_options.routers) % 2);
        made.bound = prompt_tokens + answer_tokens;
        made.used = prompt_tokens +
                    static_cast<tokens>(m_random() % (answer_tokens + 1));
        ++m_measure.requests;
        if (m_is_partitioned && made.caller_side == 1)
        {
            m_cut_demand[static_cast<std::size_t>(made.account)] += made.used;
        }
        route(std::move(made));
    }
    std::vector<request> later;
    for (request& retry : m_retries)
    {
        if (retry.ends > m_clock.steady_now())
        {
            later.push_back(std::move(retry));
            continue;
        }
        route(std::move(retry));
    }
    m_retries = std::move(later);
}

std::int32_t simulation::choose_router(const request& made)
{
    const std::int32_t shard = m_shards[static_cast<std::size_t>(made.account)];
    std::int32_t count = m_options.routers_per_account;
    count = m_options.policy == "sole_owner" ? 1 : count;
    count = count <= 0 ? m_options.routers : count;
    const std::int32_t first = static_cast<std::int32_t>(
        domain::digest_of(std::to_string(shard)) %
        static_cast<std::uint64_t>(m_options.routers));
    std::vector<std::int32_t> reachable;
    for (std::int32_t i = 0; i < count; ++i)
    {
        const std::int32_t index = (first + i) % m_options.routers;
        const router& each = m_routers[static_cast<std::size_t>(index)];
        const bool is_far = m_is_partitioned && each.side != made.caller_side;
        if (!is_far && !each.is_paused && !each.ledger->is_fenced())
        {
            reachable.push_back(index);
        }
    }
    if (reachable.empty())
    {
        return -1;
    }
    if (m_options.policy == "transfers")
    {
        // Ideal transfers make the routers of a side one ledger.
        return reachable.front();
    }
    return reachable[m_random() % reachable.size()];
}

void simulation::route(request made)
{
    const std::int32_t index = choose_router(made);
    made.deadline = m_clock.steady_now() + m_options.acquire_timeout;
    if (index < 0)
    {
        refuse(made, error{result_code::peer_unavailable, "", ""});
        return;
    }
    m_routers[static_cast<std::size_t>(index)].waiting.push_back(
        std::move(made));
}

void simulation::refuse(const request& refused, const error& why)
{
    const bool is_repeat = why.code == result_code::duplicate_request;
    if (is_repeat || refused.tries > 0)
    {
        return;
    }
    const std::size_t account = static_cast<std::size_t>(refused.account);
    ++m_measure.refused;
    ++m_measure.refusals[std::string(name_of(why.code))];
    const tokens left = m_totals[account] - m_spent[account] - m_ideal[account];
    if (left < refused.bound)
    {
        return;
    }
    // An ideal ledger would have admitted this request, and its tokens would
    // be gone for the refusals that follow.
    m_ideal[account] += refused.used;
    ++m_measure.false_refusals;
}

void simulation::try_place(std::int32_t index)
{
    router& each = m_routers[static_cast<std::size_t>(index)];
    std::vector<request> waiting;
    waiting.swap(each.waiting);
    for (request& made : waiting)
    {
        const std::size_t account = static_cast<std::size_t>(made.account);
        const domain::hold_request asked{m_names[account], "main", made.id, 7,
                                         made.bound};
        result<domain::hold_id> placed = each.ledger->place_hold(asked, now());
        if (placed)
        {
            std::uniform_real_distribution<double> seconds(0.2, 2.0);
            const ports::steady_time arrived =
                made.deadline - m_options.acquire_timeout;
            m_measure.admission.push_back(
                std::chrono::duration<double>(m_clock.steady_now() - arrived)
                    .count());
            made.hold = placed.value();
            made.ends = m_clock.steady_now() +
                        std::chrono::milliseconds(static_cast<std::int64_t>(
                            1000.0 * seconds(m_random)));
            m_spent[account] += made.bound;
            m_measure.admitted += made.tries == 0 ? 1 : 0;
            if (m_is_partitioned && each.side == 1 && made.tries == 0)
            {
                m_cut_spent[account] += made.used;
            }
            each.running.push_back(std::move(made));
            continue;
        }
        const result_code code = placed.failure().code;
        const bool is_waiting = code == result_code::grant_unavailable ||
                                code == result_code::grant_expired;
        if (is_waiting && !each.ledger->is_fenced() &&
            m_clock.steady_now() < made.deadline)
        {
            each.waiting.push_back(std::move(made));
            continue;
        }
        refuse(made, is_waiting ? each.ledger->give_up(asked, now())
                                : placed.failure());
    }
}

void simulation::end_runs(std::int32_t index)
{
    router& each = m_routers[static_cast<std::size_t>(index)];
    std::vector<request> running;
    running.swap(each.running);
    for (request& made : running)
    {
        if (made.ends > m_clock.steady_now())
        {
            each.running.push_back(std::move(made));
            continue;
        }
        const std::size_t account = static_cast<std::size_t>(made.account);
        m_spent[account] += made.used - made.bound;
        made.settled_at = m_clock.steady_now();
        static_cast<void>(each.ledger->settle(made.hold, made.used, now()));
        each.settling.emplace(made.hold, std::move(made));
    }
}

void simulation::copy_bills(std::int32_t index)
{
    router& each = m_routers[static_cast<std::size_t>(index)];
    // Holds are numbered by their start, so the order of settling is close
    // enough to stop at the first that is recent.
    for (auto entry = each.settling.begin(); entry != each.settling.end();)
    {
        request& made = entry->second;
        if (m_clock.steady_now() - made.settled_at < m_options.replica_after)
        {
            break;
        }
        const std::size_t account = static_cast<std::size_t>(made.account);
        each.ledger->mark_delivered(m_shards[account], made.hold);
        m_delivered[domain::bill_key(m_names[account], made.id)] = true;
        ++m_measure.delivered;
        m_measure.durability.push_back(
            std::chrono::duration<double>(m_options.replica_after).count());
        entry = each.settling.erase(entry);
    }
}

void simulation::take_receipts(
    std::int32_t index, const std::vector<domain::bill_receipt>& receipts)
{
    router& each = m_routers[static_cast<std::size_t>(index)];
    for (const domain::bill_receipt& receipt : receipts)
    {
        auto entry = each.settling.find(receipt.hold);
        if (entry == each.settling.end())
        {
            continue;
        }
        request made = std::move(entry->second);
        each.settling.erase(entry);
        const std::size_t account = static_cast<std::size_t>(made.account);
        const bool is_billed = receipt.state == domain::bill_state::billed;
        m_spent[account] -= is_billed ? 0 : made.used;
        if (is_billed || receipt.is_duplicate)
        {
            m_delivered[receipt.key] = true;
            ++m_measure.delivered;
            m_measure.durability.push_back(
                std::chrono::duration<double>(m_clock.steady_now() -
                                              made.settled_at)
                    .count());
            continue;
        }
        ++m_measure.undurable;
        ++made.tries;
        made.ends = m_clock.steady_now() + std::chrono::seconds(1);
        m_retries.push_back(std::move(made));
    }
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
            left += domain::total_of(account) - domain::settled_of(account);
        }
    }
    for (const router& each : m_routers)
    {
        const domain::ledger_counts counts = each.ledger->counts();
        outstanding -= counts.held + counts.unsettled;
    }
    m_measure.stranded.push_back(
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
    m_measure.largest_value = std::max(m_measure.largest_value,
                                       static_cast<std::int64_t>(text.size()));
    result<domain::budget_shard> decoded = codecs::decode_shard(text);
    return decoded ? std::move(decoded.value()) : domain::budget_shard{};
}

void simulation::finish()
{
    m_is_out = false;
    m_is_partitioned = false;
    m_lost_part = 0.0;
    tokens fair = 0;
    tokens spent = 0;
    std::int32_t cut_routers = 0;
    for (router& each : m_routers)
    {
        each.is_paused = false;
        cut_routers += each.side;
    }
    for (std::size_t i = 0; i < m_names.size(); ++i)
    {
        fair += std::min(m_cut_demand[i],
                         m_cut_start[i] * cut_routers / m_options.routers);
        spent += m_cut_spent[i];
    }
    m_measure.spendable_percent =
        fair == 0
            ? -1.0
            : percent * static_cast<double>(spent) / static_cast<double>(fair);
    const ports::steady_time until = m_clock.steady_now() + flush_time;
    while (m_clock.steady_now() < until)
    {
        step();
    }
    for (const auto& [key, count] : m_charged)
    {
        m_measure.billed_undelivered += m_delivered.count(key) == 0 ? 1 : 0;
        m_measure.double_billed += count > 1 ? 1 : 0;
    }
    for (const auto& [key, is_delivered] : m_delivered)
    {
        m_measure.delivered_unbilled += m_charged.count(key) == 0 ? 1 : 0;
    }
    for (std::int32_t shard = 0; shard < m_options.shards; ++shard)
    {
        for (const auto& [name, account] : read_shard(shard).budgets)
        {
            m_measure.overspend_tokens += std::max<tokens>(
                domain::settled_of(account) - domain::total_of(account), 0);
        }
    }
}

} // namespace turmeric::bench
