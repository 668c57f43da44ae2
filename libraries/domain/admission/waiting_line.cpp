#include "libraries/domain/admission/waiting_line.hpp"

#include <cassert>

namespace turmeric::domain
{

void waiting_line::add(const waiting_request& request)
{
    assert(m_requests.count(request.id) == 0);
    m_lines[request.service].insert({request.urgency, request.due, request.id});
    m_requests.emplace(request.id, request);
}

void waiting_line::remove(std::uint64_t id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
    {
        return;
    }
    const waiting_request& request = found->second;
    const auto line = m_lines.find(request.service);
    line->second.erase({request.urgency, request.due, id});
    if (line->second.empty())
    {
        m_lines.erase(line);
    }
    m_requests.erase(found);
}

std::optional<std::uint64_t>
waiting_line::next(const std::string& service) const
{
    const auto line = m_lines.find(service);
    if (line == m_lines.end())
    {
        return std::nullopt;
    }
    return std::get<std::uint64_t>(*line->second.begin());
}

std::vector<std::string> waiting_line::services() const
{
    std::vector<std::string> names;
    for (const auto& [service, line] : m_lines)
    {
        names.push_back(service);
    }
    return names;
}

std::size_t waiting_line::size() const
{
    return m_requests.size();
}

} // namespace turmeric::domain
