#include "libraries/domain/streaming/event_splitter.hpp"

#include <algorithm>
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
    if (m_has_gap)
    {
        return;
    }
    if (id && m_last_id && *id <= *m_last_id)
    {
        return;
    }
    if (id)
    {
        record_step(*id);
        if (m_has_gap)
        {
            return;
        }
        m_last_id = id;
        m_is_resuming = false;
    }
    ++m_events;
    out.append(event);
}

void event_splitter::record_step(std::int64_t id)
{
    // The first event of a stream is as far from its start, which has id 0, as
    // the later ones are from each other.
    constexpr std::int64_t stream_start = 0;
    const std::int64_t last_id = m_last_id.value_or(std::min(id, stream_start));
    const std::uint64_t step =
        static_cast<std::uint64_t>(id) - static_cast<std::uint64_t>(last_id);
    m_has_gap = m_is_resuming && m_largest_step && step > *m_largest_step;
    if (!m_has_gap)
    {
        m_largest_step = std::max(step, m_largest_step.value_or(1));
    }
}

void event_splitter::drop_partial()
{
    m_partial.clear();
    m_is_resuming = true;
    m_has_gap = false;
}

bool event_splitter::has_gap() const
{
    return m_has_gap;
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
