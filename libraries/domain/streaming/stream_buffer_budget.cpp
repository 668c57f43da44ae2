#include "libraries/domain/streaming/stream_buffer_budget.hpp"

#include <algorithm>
#include <cassert>

namespace turmeric::domain
{

stream_buffer_budget::stream_buffer_budget(const stream_buffer_limits& limits)
    : m_limits(limits)
{
}

status stream_buffer_budget::open(std::uint64_t id)
{
    assert(!m_streams.contains(id));
    if (m_held + m_limits.request_bytes > m_limits.total_bytes)
    {
        return error{result_code::slow_reader_limit, "total_bytes",
                     "slow readers use all of the stream buffer budget",
                     outcome::not_run};
    }
    m_streams.emplace(id, stream{});
    return success();
}

read_permission stream_buffer_budget::reserve(std::uint64_t id,
                                              std::size_t bytes,
                                              ports::steady_time now)
{
    assert(bytes <= m_limits.request_bytes);
    stream& reader = m_streams.at(id);
    bool fits = reader.state != phase::parked &&
                reader.bytes + bytes <= m_limits.request_bytes &&
                m_held + bytes <= m_limits.total_bytes;
    if (!fits)
    {
        if (reader.state == phase::reading)
        {
            reader.state = phase::paused;
            reader.since = now;
        }
        return read_permission::paused;
    }
    reader.state = phase::reading;
    reader.bytes += bytes;
    m_held += bytes;
    return read_permission::granted;
}

void stream_buffer_budget::release(std::uint64_t id, std::size_t bytes)
{
    auto found = m_streams.find(id);
    if (found == m_streams.end())
    {
        return;
    }
    std::size_t freed = std::min(bytes, found->second.bytes);
    found->second.bytes -= freed;
    m_held -= freed;
}

std::vector<std::uint64_t>
stream_buffer_budget::older_than(phase state, std::chrono::milliseconds age,
                                 ports::steady_time now) const
{
    std::vector<std::uint64_t> due;
    for (const auto& [id, reader] : m_streams)
    {
        if (reader.state == state && now - reader.since >= age)
        {
            due.push_back(id);
        }
    }
    std::sort(due.begin(), due.end());
    return due;
}

std::vector<std::uint64_t>
stream_buffer_budget::streams_to_park(ports::steady_time now) const
{
    return older_than(phase::paused, m_limits.park_after, now);
}

status stream_buffer_budget::park(std::uint64_t id, ports::steady_time now)
{
    stream& reader = m_streams.at(id);
    assert(reader.state != phase::parked);
    if (m_parked >= m_limits.max_parked_streams)
    {
        return error{result_code::slow_reader_limit, "most_parked",
                     "too many slow readers are parked",
                     outcome::outcome_unknown};
    }
    m_held -= reader.bytes;
    reader.bytes = 0;
    reader.state = phase::parked;
    reader.since = now;
    ++m_parked;
    return success();
}

void stream_buffer_budget::unpark(std::uint64_t id)
{
    stream& reader = m_streams.at(id);
    assert(reader.state == phase::parked);
    reader.state = phase::reading;
    --m_parked;
}

std::vector<std::uint64_t>
stream_buffer_budget::streams_to_end(ports::steady_time now) const
{
    return older_than(phase::parked, m_limits.max_park_time, now);
}

void stream_buffer_budget::close(std::uint64_t id)
{
    auto found = m_streams.find(id);
    if (found == m_streams.end())
    {
        return;
    }
    m_held -= found->second.bytes;
    m_parked -= found->second.state == phase::parked ? 1 : 0;
    m_streams.erase(found);
}

std::size_t stream_buffer_budget::held() const
{
    return m_held;
}

std::size_t stream_buffer_budget::parked() const
{
    return m_parked;
}

} // namespace turmeric::domain
