#include "bench/budget/simulation.hpp"

#include "libraries/domain/digest.hpp"

#include <utility>

namespace turmeric::bench
{

using domain::tokens;

namespace
{

constexpr tokens prompt_tokens = 200;
constexpr tokens answer_tokens = 800;

} // namespace

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
        const bool is_far =
            (m_is_partitioned || m_options.policy == "transfers") &&
            each.side != made.caller_side;
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
        refuse(made, is_waiting ? each.ledger->cancel_wait(asked, now())
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

} // namespace turmeric::bench
