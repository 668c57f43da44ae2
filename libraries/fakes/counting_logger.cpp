#include "libraries/fakes/counting_logger.hpp"

namespace turmeric::fakes
{

void counting_logger::write(log_level /*level*/, log_event event,
                            const std::vector<log_field>& /*fields*/)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    ++m_counts[event];
}

std::size_t counting_logger::count(log_event event) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    auto found = m_counts.find(event);
    return found == m_counts.end() ? 0 : found->second;
}

} // namespace turmeric::fakes
