#include "bench/budget/simulation.hpp"

#include "libraries/domain/digest.hpp"

#include <utility>

namespace turmeric::bench
{

using domain::tokens;

namespace
{

constexpr tokens prompt_tokens = 200;
constexpr tokens max_response_tokens = 800;

} // namespace

void simulation::replace_fenced_router(std::int32_t index)
{
    const router& each = m_routers[static_cast<std::size_t>(index)];
    const bool is_done =
        each.running.empty() && each.settling.empty() && each.waiting.empty();
    if (each.ledger->is_fenced() && is_done)
    {
        start_router(index);
    }
}

void simulation::generate_requests()
{
    const double expected =
        m_options.requests_per_second *
        std::chrono::duration<double>(m_options.tick).count();
    std::poisson_distribution<int> arrivals(expected);
    const int count = arrivals(m_random);
    for (int i = 0; i < count; ++i)
    {
        std::uniform_real_distribution<double> fraction(0.0, 1.0);
        request caller_request;
        caller_request.id = std::to_string(m_next_request++);
        const bool is_busiest =
            m_options.accounts == 1 || fraction(m_random) < m_options.skew;
        caller_request.account =
            is_busiest
                ? 0
                : 1 + static_cast<std::int32_t>(
                          m_random() %
                          static_cast<std::uint64_t>(m_options.accounts - 1));
        caller_request.caller_side = static_cast<std::int32_t>(
            m_random() % static_cast<std::uint64_t>(m_options.routers) % 2);
        caller_request.max_tokens = prompt_tokens + max_response_tokens;
        caller_request.used_tokens =
            prompt_tokens +
            static_cast<tokens>(m_random() % (max_response_tokens + 1));
        ++m_figures.requests;
        if (m_is_partitioned && caller_request.caller_side == 1)
        {
            m_cut_off_demand_tokens[static_cast<std::size_t>(
                caller_request.account)] += caller_request.used_tokens;
        }
        assign_router(std::move(caller_request));
    }
    std::vector<request> later;
    for (request& retry : m_pending_retries)
    {
        if (retry.ends_at > m_clock.steady_now())
        {
            later.push_back(std::move(retry));
            continue;
        }
        assign_router(std::move(retry));
    }
    m_pending_retries = std::move(later);
}

std::int32_t simulation::choose_router(const request& caller_request)
{
    const std::int32_t shard =
        m_account_shards[static_cast<std::size_t>(caller_request.account)];
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
            each.side != caller_request.caller_side;
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
        // With ideal transfers between peers, all routers on one side of a
        // partition act as one ledger.
        return reachable.front();
    }
    return reachable[m_random() % reachable.size()];
}

void simulation::assign_router(request caller_request)
{
    const std::int32_t index = choose_router(caller_request);
    caller_request.deadline = m_clock.steady_now() + m_options.acquire_timeout;
    if (index < 0)
    {
        refuse(caller_request, error{result_code::peer_unavailable, "", ""});
        return;
    }
    m_routers[static_cast<std::size_t>(index)].waiting.push_back(
        std::move(caller_request));
}

void simulation::refuse(const request& refused, const error& why)
{
    const bool is_repeat = why.code == result_code::duplicate_request;
    if (is_repeat || refused.retry_count > 0)
    {
        return;
    }
    const std::size_t account = static_cast<std::size_t>(refused.account);
    ++m_figures.refused;
    ++m_figures.refusals_by_code[std::string(name_of(why.code))];
    const tokens left = m_topped_up_tokens[account] - m_spent_tokens[account] -
                        m_falsely_refused_tokens[account];
    if (left < refused.max_tokens)
    {
        return;
    }
    // An ideal ledger would have admitted this request, so its tokens count as
    // spent when later refusals are judged.
    m_falsely_refused_tokens[account] += refused.used_tokens;
    ++m_figures.false_refusals;
}

void simulation::try_place_holds(std::int32_t index)
{
    router& each = m_routers[static_cast<std::size_t>(index)];
    std::vector<request> waiting;
    waiting.swap(each.waiting);
    for (request& caller_request : waiting)
    {
        const std::size_t account =
            static_cast<std::size_t>(caller_request.account);
        const domain::hold_request requested_hold{m_account_names[account],
                                                  "main", caller_request.id, 7,
                                                  caller_request.max_tokens};
        result<domain::hold_id> placed =
            each.ledger->place_hold(requested_hold, now());
        if (placed)
        {
            std::uniform_real_distribution<double> seconds(0.2, 2.0);
            const ports::steady_time arrived =
                caller_request.deadline - m_options.acquire_timeout;
            m_figures.admission_wait_s.push_back(
                std::chrono::duration<double>(m_clock.steady_now() - arrived)
                    .count());
            caller_request.hold = placed.value();
            caller_request.ends_at =
                m_clock.steady_now() +
                std::chrono::milliseconds(
                    static_cast<std::int64_t>(1000.0 * seconds(m_random)));
            m_spent_tokens[account] += caller_request.max_tokens;
            m_figures.admitted += caller_request.retry_count == 0 ? 1 : 0;
            if (m_is_partitioned && each.side == 1 &&
                caller_request.retry_count == 0)
            {
                m_cut_off_spent_tokens[account] += caller_request.used_tokens;
            }
            each.running.push_back(std::move(caller_request));
            continue;
        }
        const result_code code = placed.failure().code;
        const bool is_waiting = code == result_code::grant_unavailable ||
                                code == result_code::grant_expired;
        if (is_waiting && !each.ledger->is_fenced() &&
            m_clock.steady_now() < caller_request.deadline)
        {
            each.waiting.push_back(std::move(caller_request));
            continue;
        }
        refuse(caller_request,
               is_waiting ? each.ledger->cancel_wait(requested_hold, now())
                          : placed.failure());
    }
}

void simulation::end_requests(std::int32_t index)
{
    router& each = m_routers[static_cast<std::size_t>(index)];
    std::vector<request> running;
    running.swap(each.running);
    for (request& caller_request : running)
    {
        if (caller_request.ends_at > m_clock.steady_now())
        {
            each.running.push_back(std::move(caller_request));
            continue;
        }
        const std::size_t account =
            static_cast<std::size_t>(caller_request.account);
        m_spent_tokens[account] +=
            caller_request.used_tokens - caller_request.max_tokens;
        caller_request.settled_at = m_clock.steady_now();
        static_cast<void>(each.ledger->settle(
            caller_request.hold, caller_request.used_tokens, now()));
        each.settling.emplace(caller_request.hold, std::move(caller_request));
    }
}

void simulation::replicate_bills(std::int32_t index)
{
    router& each = m_routers[static_cast<std::size_t>(index)];
    // Hold numbers follow the order in which requests start, which is close to
    // the order in which they settle, so the scan stops at the first recent
    // one.
    for (auto entry = each.settling.begin(); entry != each.settling.end();)
    {
        request& caller_request = entry->second;
        if (m_clock.steady_now() - caller_request.settled_at <
            m_options.replicate_after)
        {
            break;
        }
        const std::size_t account =
            static_cast<std::size_t>(caller_request.account);
        each.ledger->mark_delivered(m_account_shards[account],
                                    caller_request.hold);
        m_delivered_bills[domain::bill_key(m_account_names[account],
                                           caller_request.id)] = true;
        ++m_figures.delivered;
        m_figures.durability_s.push_back(
            std::chrono::duration<double>(m_options.replicate_after).count());
        entry = each.settling.erase(entry);
    }
}

void simulation::apply_receipts(
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
        request caller_request = std::move(entry->second);
        each.settling.erase(entry);
        const std::size_t account =
            static_cast<std::size_t>(caller_request.account);
        const bool is_billed = receipt.state == domain::bill_state::billed;
        m_spent_tokens[account] -= is_billed ? 0 : caller_request.used_tokens;
        if (is_billed || receipt.is_duplicate)
        {
            m_delivered_bills[receipt.key] = true;
            ++m_figures.delivered;
            m_figures.durability_s.push_back(
                std::chrono::duration<double>(m_clock.steady_now() -
                                              caller_request.settled_at)
                    .count());
            continue;
        }
        ++m_figures.undurable_bills;
        ++caller_request.retry_count;
        caller_request.ends_at = m_clock.steady_now() + std::chrono::seconds(1);
        m_pending_retries.push_back(std::move(caller_request));
    }
}

} // namespace turmeric::bench
