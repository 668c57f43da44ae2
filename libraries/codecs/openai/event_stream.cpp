#include "libraries/codecs/openai/event_stream.hpp"

namespace turmeric::codecs
{

namespace
{

constexpr std::string_view data_prefix = "data:";

/// Returns the value of a `data` field, or an empty view for any other line.
std::string_view event_data_of(std::string_view line)
{
    if (!line.empty() && line.back() == '\r')
    {
        line.remove_suffix(1);
    }
    if (!line.starts_with(data_prefix))
    {
        return {};
    }
    line.remove_prefix(data_prefix.size());
    if (line.starts_with(' '))
    {
        line.remove_prefix(1);
    }
    return line;
}

} // namespace

result<std::vector<std::string>>
event_stream_reader::accept(std::string_view bytes)
{
    m_buffer.append(bytes);
    std::vector<std::string> events;
    std::size_t start = 0;
    std::size_t end = m_buffer.find('\n');
    while (end != std::string::npos)
    {
        std::string_view data = event_data_of(
            std::string_view(m_buffer).substr(start, end - start));
        if (!data.empty())
        {
            events.emplace_back(data);
        }
        start = end + 1;
        end = m_buffer.find('\n', start);
    }
    m_buffer.erase(0, start);
    if (m_buffer.size() > max_event_bytes)
    {
        return error{result_code::stream_broken, "event",
                     "an event of the stream is longer than the limit",
                     outcome::outcome_unknown};
    }
    return events;
}

} // namespace turmeric::codecs
