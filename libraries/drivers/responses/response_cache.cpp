#include "libraries/drivers/responses/response_cache.hpp"

namespace turmeric::drivers
{

namespace
{

std::string key_of(const std::string& account, const std::string& request_id)
{
    return account + '\n' + request_id;
}

} // namespace

response_cache::response_cache(const response_cache_settings& settings,
                               const ports::clock& clock)
    : m_settings(settings)
    , m_clock(clock)
{
}

result<opened_response> response_cache::open(const std::string& account,
                                             const std::string& request_id,
                                             std::uint64_t body_digest)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    evict_ended_locked();
    std::string key = key_of(account, request_id);
    auto found = m_entries.find(key);
    if (found != m_entries.end())
    {
        if (found->second.body_digest != body_digest)
        {
            return error{
                result_code::request_id_reused, "Idempotency-Key",
                "the request id was already used with a different body"};
        }
        // A cancelled response never becomes complete, so a repeated request
        // cannot join it.
        if (!found->second.buffer->is_cancelled())
        {
            return opened_response{found->second.buffer, false};
        }
        return error{result_code::duplicate_request, "Idempotency-Key",
                     "the request with this id is being cancelled",
                     outcome::outcome_unknown, std::chrono::seconds(1)};
    }
    if (m_entries.size() >= m_settings.max_responses)
    {
        return error{result_code::ledger_full, "requests",
                     "too many requests are in flight", outcome::not_run,
                     std::chrono::seconds(1)};
    }
    entry created;
    created.buffer =
        std::make_shared<response_buffer>(m_settings.max_unread_bytes);
    created.body_digest = body_digest;
    std::shared_ptr<response_buffer> buffer = created.buffer;
    m_entries.emplace(std::move(key), std::move(created));
    return opened_response{buffer, true};
}

void response_cache::close(const std::string& account,
                           const std::string& request_id, bool is_retained)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    std::string key = key_of(account, request_id);
    auto found = m_entries.find(key);
    if (found == m_entries.end())
    {
        return;
    }
    if (!is_retained)
    {
        m_entries.erase(found);
        return;
    }
    entry& ended = found->second;
    ended.is_ended = true;
    ended.retained_bytes = ended.buffer->byte_count();
    ended.ended_at = m_clock.steady_now();
    m_retained_bytes += ended.retained_bytes;
    m_ended.push_back(key);
    evict_ended_locked();
}

std::size_t response_cache::in_flight() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_entries.size() - m_ended.size();
}

std::size_t response_cache::unread_bytes() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    std::size_t bytes = 0;
    for (const auto& [key, response] : m_entries)
    {
        bytes += response.is_ended ? 0 : response.buffer->unread_bytes();
    }
    return bytes;
}

void response_cache::evict_ended_locked()
{
    ports::steady_time now = m_clock.steady_now();
    while (!m_ended.empty())
    {
        const entry& oldest = m_entries.at(m_ended.front());
        bool is_old = now - oldest.ended_at > m_settings.retention;
        if (!is_old && m_retained_bytes <= m_settings.max_retained_bytes)
        {
            return;
        }
        m_retained_bytes -= oldest.retained_bytes;
        m_entries.erase(m_ended.front());
        m_ended.pop_front();
    }
}

} // namespace turmeric::drivers
