#include "libraries/domain/admission/slot_queue.hpp"

#include <cassert>

namespace turmeric::domain
{

void slot_queue::add(const waiting_request& request)
{
    assert(m_requests.count(request.id) == 0);
    m_queues[request.service].insert(
        {request.urgency, request.due, request.id});
    m_requests.emplace(request.id, request);
}

void slot_queue::remove(std::uint64_t id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
    {
        return;
    }
    const waiting_request& request = found->second;
    const auto queue = m_queues.find(request.service);
    queue->second.erase({request.urgency, request.due, id});
    if (queue->second.empty())
    {
        m_queues.erase(queue);
    }
    m_requests.erase(found);
}

std::optional<std::uint64_t> slot_queue::next(const std::string& service) const
{
    const auto queue = m_queues.find(service);
    if (queue == m_queues.end())
    {
        return std::nullopt;
    }
    return std::get<std::uint64_t>(*queue->second.begin());
}

std::vector<std::string> slot_queue::services() const
{
    std::vector<std::string> names;
    for (const auto& [service, queue] : m_queues)
    {
        names.push_back(service);
    }
    return names;
}

std::size_t slot_queue::size_of(const std::string& service) const
{
    const auto found = m_queues.find(service);
    return found == m_queues.end() ? 0 : found->second.size();
}

std::size_t slot_queue::size() const
{
    return m_requests.size();
}

} // namespace turmeric::domain
