#include "libraries/domain/streaming/event_splitter.hpp"

#include <charconv>
#include <system_error>

namespace turmeric::domain
{

namespace
{

constexpr std::string_view event_end = "\n\n";

/// Returns the number in the event's `id` line, if it has one.
std::optional<std::int64_t> id_of(std::string_view event)
{
    constexpr std::string_view id_field = "id:";
    std::size_t start = 0;
    while (start < event.size())
    {
        std::size_t end = event.find('\n', start);
        end = end == std::string_view::npos ? event.size() : end;
        std::string_view line = event.substr(start, end - start);
        start = end + 1;
        if (line.substr(0, id_field.size()) != id_field)
        {
            continue;
        }
        line.remove_prefix(id_field.size());
        while (!line.empty() && line.front() == ' ')
        {
            line.remove_prefix(1);
        }
        std::int64_t id = 0;
        const auto [rest, parse_error] =
            std::from_chars(line.data(), line.data() + line.size(), id);
        if (parse_error == std::errc() && rest != line.data())
        {
            return id;
        }
    }
    return std::nullopt;
}

} // namespace

event_splitter::event_splitter(std::optional<std::int64_t> last_id)
    : m_last_id(last_id)
{
}

std::string event_splitter::feed(std::string_view bytes)
{
    // The first byte of a separator may be the last byte received before.
    std::size_t searched = m_partial.empty() ? 0 : m_partial.size() - 1;
    m_partial.append(bytes);
    std::string out;
    std::size_t start = 0;
    std::size_t end = m_partial.find(event_end, searched);
    while (end != std::string::npos)
    {
        const std::size_t next = end + event_end.size();
        append_event(std::string_view(m_partial).substr(start, next - start),
                     out);
        start = next;
        end = m_partial.find(event_end, start);
    }
    m_partial.erase(0, start);
    return out;
}

void event_splitter::append_event(std::string_view event, std::string& out)
{
    const std::optional<std::int64_t> id = id_of(event);
    if (id && m_last_id && *id <= *m_last_id)
    {
        return;
    }
    if (id)
    {
        m_last_id = id;
    }
    ++m_events;
    out.append(event);
}

void event_splitter::drop_partial()
{
    m_partial.clear();
}

bool event_splitter::has_partial() const
{
    return !m_partial.empty();
}

std::size_t event_splitter::partial_size() const
{
    return m_partial.size();
}

std::optional<std::int64_t> event_splitter::last_id() const
{
    return m_last_id;
}

std::int64_t event_splitter::events() const
{
    return m_events;
}

} // namespace turmeric::domain
