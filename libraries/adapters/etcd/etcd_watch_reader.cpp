#include "libraries/adapters/etcd/etcd_watch_reader.hpp"

#include "libraries/adapters/etcd/etcd_messages.hpp"
#include "libraries/codecs/common/json_reader.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace turmeric::adapters
{

namespace
{

/// Size limit for a line of the stream, which has one or more events.
constexpr std::size_t max_line_bytes = 16 << 20;
constexpr codecs::document_limits line_limits =
    codecs::json_limits_for(max_line_bytes);

} // namespace

etcd_watch_reader::etcd_watch_reader(
    ports::revision start, std::chrono::steady_clock::time_point deadline)
    : m_start(start)
    , m_deadline(deadline)
{
}

bool etcd_watch_reader::consume(std::string_view data)
{
    const std::size_t searched = m_buffer.size();
    m_buffer.append(data);
    std::size_t begin = 0;
    std::size_t end = m_buffer.find('\n', searched);
    while (end != std::string::npos)
    {
        if (!consume_line(m_buffer.substr(begin, end - begin)))
        {
            return false;
        }
        begin = end + 1;
        end = m_buffer.find('\n', begin);
    }
    m_buffer.erase(0, begin);
    if (m_buffer.size() > max_line_bytes)
    {
        m_is_unreadable = true;
        return false;
    }
    return std::chrono::steady_clock::now() < m_deadline;
}

bool etcd_watch_reader::consume_line(const std::string& line)
{
    result<json> parsed = codecs::parse_json(
        line, result_code::platform_unavailable, "watch", line_limits);
    if (!parsed || !parsed.value().contains("result"))
    {
        m_is_unreadable = true;
        return false;
    }
    const json& reply = parsed.value()["result"];
    if (read_int64(reply, "compact_revision").value_or(0) > 0)
    {
        m_batch.is_compacted = true;
        return false;
    }
    if (reply.contains("created"))
    {
        m_is_created = true;
        m_created_revision =
            read_int64(reply.value("header", json::object()), "revision")
                .value_or(0);
    }
    const auto events = reply.find("events");
    return events == reply.end() || add_events(*events);
}

bool etcd_watch_reader::add_events(const json& events)
{
    for (const json& event : events)
    {
        std::optional<ports::key_event> parsed_event = read_etcd_event(event);
        if (!parsed_event)
        {
            m_is_unreadable = true;
            return false;
        }
        m_batch.store_revision = std::max(
            m_batch.store_revision, parsed_event->entry.modification_revision);
        m_batch.events.push_back(std::move(*parsed_event));
    }
    return m_batch.events.empty();
}

result<ports::watch_batch> etcd_watch_reader::finish() const
{
    if (m_is_unreadable)
    {
        return error{result_code::platform_unavailable, "watch",
                     "the watch's response cannot be parsed"};
    }
    if (m_batch.is_compacted || !m_batch.events.empty())
    {
        return m_batch;
    }
    if (!m_is_created)
    {
        return error{result_code::platform_timeout, "watch",
                     "the watch was not confirmed in time"};
    }
    ports::watch_batch empty;
    // A later revision would skip changes that are not delivered yet.
    empty.store_revision = m_start > 0 ? m_start - 1 : m_created_revision;
    return empty;
}

} // namespace turmeric::adapters
