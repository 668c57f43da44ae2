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
admission_queue::check_limits(const admission_ticket& ticket,
                              ports::steady_time now) const
{
    if (ticket.deadline && *ticket.deadline <= now)
    {
        return refuse(result_code::deadline_exceeded, "deadline",
                      "the deadline passed before the request could run");
    }
    account_usage usage;
    auto found = m_accounts.find(ticket.account);
    if (found != m_accounts.end())
    {
        usage = found->second;
    }
    if (usage.requests + 1 > m_limits.account_requests)
    {
        return refuse(result_code::queue_full, "account_requests",
                      "too many requests of the account are waiting");
    }
    if (usage.bytes + ticket.bytes > m_limits.account_bytes)
    {
        return refuse(result_code::queue_full, "account_bytes",
                      "waiting requests of the account occupy too many bytes");
    }
    if (m_locations.size() + 1 > m_limits.total_requests)
    {
        return refuse(result_code::queue_full, "total_requests",
                      "too many requests are waiting");
    }
    if (m_bytes + ticket.bytes > m_limits.total_bytes)
    {
        return refuse(result_code::queue_full, "total_bytes",
                      "waiting requests occupy too many bytes");
    }
    return std::nullopt;
}

ports::steady_time admission_queue::expiry_of(const admission_ticket& ticket,
                                              ports::steady_time now) const
{
    ports::steady_time latest = now + m_limits.max_wait;
    return ticket.deadline ? std::min(latest, *ticket.deadline) : latest;
}

void admission_queue::charge(lane_state& lane, const admission_ticket& ticket)
{
    flow& charged = lane.flows[ticket.account];
    double start = std::max(charged.finish, lane.virtual_time);
    double weight = std::max(ticket.weight, 1);
    charged.finish = start + static_cast<double>(ticket.cost) / weight;
    lane.virtual_time = start;
}

result<admission> admission_queue::offer(const admission_ticket& ticket,
                                         bool has_slot, ports::steady_time now)
{
    assert(!m_locations.contains(ticket.id));
    lane_state& lane = m_lanes[ticket.lane];
    bool is_past_deadline = ticket.deadline && *ticket.deadline <= now;
    if (has_slot && lane.waiting == 0 && !is_past_deadline)
    {
        charge(lane, ticket);
        return admission::admitted;
    }
    std::optional<error> refusal = check_limits(ticket, now);
    if (refusal)
    {
        return *refusal;
    }
    ports::steady_time expires = expiry_of(ticket, now);
    queue_position position{ticket.priority, m_arrivals++};
    lane.flows[ticket.account].waiting[position] =
        waiting_ticket{ticket, expires};
    ++lane.waiting;
    m_locations[ticket.id] =
        location{ticket.lane, ticket.account, position, expires};
    m_expiries.emplace(expires, ticket.id);
    account_usage& usage = m_accounts[ticket.account];
    ++usage.requests;
    usage.bytes += ticket.bytes;
    m_bytes += ticket.bytes;
    return admission::queued;
}

admission_ticket admission_queue::remove(std::uint64_t id)
{
    auto found = m_locations.find(id);
    assert(found != m_locations.end());
    const location where = found->second;
    lane_state& lane = m_lanes[where.lane];
    flow& from = lane.flows[where.account];
    admission_ticket removed = from.waiting.at(where.position).ticket;
    from.waiting.erase(where.position);
    --lane.waiting;
    m_expiries.erase({where.expires, id});
    m_locations.erase(found);
    account_usage& usage = m_accounts[where.account];
    --usage.requests;
    usage.bytes -= removed.bytes;
    if (usage.requests == 0)
    {
        m_accounts.erase(where.account);
    }
    m_bytes -= removed.bytes;
    return removed;
}

std::optional<std::uint64_t>
admission_queue::find_next(const lane_state& lane, ports::steady_time now) const
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
    std::optional<std::uint64_t> id = find_next(found->second, now);
    if (!id)
    {
        return std::nullopt;
    }
    admission_ticket next_ticket = remove(*id);
    charge(found->second, next_ticket);
    remove_idle_flows(found->second);
    return next_ticket;
}

void admission_queue::remove_idle_flows(lane_state& lane)
{
    // A flow that finished by the lane's virtual time starts at that time
    // again, just as a new flow does.
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
        admission_ticket ticket = remove(m_expiries.begin()->second);
        bool is_past_deadline = ticket.deadline && *ticket.deadline <= now;
        error failure =
            is_past_deadline
                ? refuse(result_code::deadline_exceeded, "deadline",
                         "the deadline passed before the request could run")
                : refuse(result_code::queue_timeout, "longest_wait",
                         "no slot became free within the queue's time limit");
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
    remove(id);
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
