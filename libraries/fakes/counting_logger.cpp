#include "libraries/fakes/counting_logger.hpp"

namespace turmeric::fakes
{

void counting_logger::write(log_level /*level*/, log_event event,
                            const std::vector<log_field>& fields)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    ++m_counts[event];
    auto& texts = m_last_texts[event];
    texts.clear();
    for (const log_field& field : fields)
    {
        if (const auto* text = std::get_if<std::string>(&field.value))
        {
            texts.emplace(field.name, *text);
        }
    }
}

std::string counting_logger::last_text(log_event event,
                                       std::string_view field) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    auto texts = m_last_texts.find(event);
    if (texts == m_last_texts.end())
    {
        return std::string();
    }
    auto found = texts->second.find(field);
    return found == texts->second.end() ? std::string() : found->second;
}

std::size_t counting_logger::count(log_event event) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    auto found = m_counts.find(event);
    return found == m_counts.end() ? 0 : found->second;
}

} // namespace turmeric::fakes
