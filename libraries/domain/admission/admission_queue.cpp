#include "libraries/domain/admission/admission_queue.hpp"

#include <algorithm>
#include <cassert>

namespace turmeric::domain
{

namespace
{

error refuse(result_code code, const char* field, const char* detail)
{
    return error{code, field, detail, outcome::not_run};
}

} // namespace

admission_queue::admission_queue(const admission_limits& limits)
    : m_limits(limits)
{
}

std::optional<error>
admission_queue::find_refusal(const admission_ticket& ticket,
                              ports::steady_time now) const
{
    if (ticket.deadline && *ticket.deadline <= now)
    {
        return refuse(result_code::deadline_exceeded, "deadline",
                      "the deadline passed before the request could run");
    }
    account_use use;
    auto known = m_accounts.find(ticket.account);
    if (known != m_accounts.end())
    {
        use = known->second;
    }
    if (use.requests + 1 > m_limits.account_requests)
    {
        return refuse(result_code::queue_full, "account_requests",
                      "too many requests of the account wait");
    }
    if (use.bytes + ticket.bytes > m_limits.account_bytes)
    {
        return refuse(result_code::queue_full, "account_bytes",
                      "waiting requests of the account hold too many bytes");
    }
    if (m_locations.size() + 1 > m_limits.total_requests)
    {
        return refuse(result_code::queue_full, "total_requests",
                      "too many requests wait");
    }
    if (m_bytes + ticket.bytes > m_limits.total_bytes)
    {
        return refuse(result_code::queue_full, "total_bytes",
                      "waiting requests hold too many bytes");
    }
    return std::nullopt;
}

ports::steady_time admission_queue::expiry_of(const admission_ticket& ticket,
                                              ports::steady_time now) const
{
    ports::steady_time longest = now + m_limits.longest_wait;
    return ticket.deadline ? std::min(longest, *ticket.deadline) : longest;
}

void admission_queue::charge(lane_state& lane, const admission_ticket& ticket)
{
    flow& paying = lane.flows[ticket.account];
    double start = std::max(paying.finish, lane.virtual_time);
    double weight = std::max(ticket.weight, 1);
    paying.finish = start + static_cast<double>(ticket.cost) / weight;
    lane.virtual_time = start;
}

result<admission> admission_queue::offer(const admission_ticket& ticket,
                                         bool has_slot, ports::steady_time now)
{
    assert(!m_locations.contains(ticket.id));
    lane_state& lane = m_lanes[ticket.lane];
    bool is_overdue = ticket.deadline && *ticket.deadline <= now;
    if (has_slot && lane.waiting == 0 && !is_overdue)
    {
        charge(lane, ticket);
        return admission::admitted;
    }
    std::optional<error> refusal = find_refusal(ticket, now);
    if (refusal)
    {
        return *refusal;
    }
    ports::steady_time expires = expiry_of(ticket, now);
    place at{ticket.priority, m_arrivals++};
    lane.flows[ticket.account].waiting[at] = waiting_ticket{ticket, expires};
    ++lane.waiting;
    m_locations[ticket.id] = location{ticket.lane, ticket.account, at, expires};
    m_expiries.emplace(expires, ticket.id);
    account_use& use = m_accounts[ticket.account];
    ++use.requests;
    use.bytes += ticket.bytes;
    m_bytes += ticket.bytes;
    return admission::queued;
}

admission_ticket admission_queue::take(std::uint64_t id)
{
    auto found = m_locations.find(id);
    assert(found != m_locations.end());
    const location where = found->second;
    lane_state& lane = m_lanes[where.lane];
    flow& from = lane.flows[where.account];
    admission_ticket taken = from.waiting.at(where.at).ticket;
    from.waiting.erase(where.at);
    --lane.waiting;
    m_expiries.erase({where.expires, id});
    m_locations.erase(found);
    account_use& use = m_accounts[where.account];
    --use.requests;
    use.bytes -= taken.bytes;
    if (use.requests == 0)
    {
        m_accounts.erase(where.account);
    }
    m_bytes -= taken.bytes;
    return taken;
}

std::optional<std::uint64_t>
admission_queue::fairest(const lane_state& lane, ports::steady_time now) const
{
    std::optional<std::uint64_t> best;
    double best_start = 0;
    for (const auto& [account, flow] : lane.flows)
    {
        double start = std::max(flow.finish, lane.virtual_time);
        if (best && start >= best_start)
        {
            continue;
        }
        auto first = std::find_if(flow.waiting.begin(), flow.waiting.end(),
                                  [now](const auto& item)
                                  { return item.second.expires > now; });
        if (first != flow.waiting.end())
        {
            best = first->second.ticket.id;
            best_start = start;
        }
    }
    return best;
}

std::optional<admission_ticket> admission_queue::next(const std::string& lane,
                                                      ports::steady_time now)
{
    auto found = m_lanes.find(lane);
    if (found == m_lanes.end())
    {
        return std::nullopt;
    }
    std::optional<std::uint64_t> id = fairest(found->second, now);
    if (!id)
    {
        return std::nullopt;
    }
    admission_ticket taken = take(*id);
    charge(found->second, taken);
    forget_idle_flows(found->second);
    return taken;
}

void admission_queue::forget_idle_flows(lane_state& lane)
{
    // A flow that owes nothing more is the same as an unknown one.
    std::erase_if(lane.flows,
                  [&lane](const auto& item)
                  {
                      return item.second.waiting.empty() &&
                             item.second.finish <= lane.virtual_time;
                  });
}

std::vector<refused_ticket> admission_queue::expire(ports::steady_time now)
{
    std::vector<refused_ticket> refused;
    while (!m_expiries.empty() && m_expiries.begin()->first <= now)
    {
        admission_ticket ticket = take(m_expiries.begin()->second);
        bool is_overdue = ticket.deadline && *ticket.deadline <= now;
        error failure =
            is_overdue
                ? refuse(result_code::deadline_exceeded, "deadline",
                         "the deadline passed before the request could run")
                : refuse(result_code::queue_timeout, "longest_wait",
                         "no slot came free in time");
        refused.push_back(refused_ticket{std::move(ticket), failure});
    }
    return refused;
}

bool admission_queue::cancel(std::uint64_t id)
{
    if (!m_locations.contains(id))
    {
        return false;
    }
    take(id);
    return true;
}

std::size_t admission_queue::size() const
{
    return m_locations.size();
}

std::size_t admission_queue::bytes() const
{
    return m_bytes;
}

std::vector<std::string> admission_queue::lanes() const
{
    std::vector<std::string> waiting;
    for (const auto& [name, lane] : m_lanes)
    {
        if (lane.waiting > 0)
        {
            waiting.push_back(name);
        }
    }
    return waiting;
}

} // namespace turmeric::domain
