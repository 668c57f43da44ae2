#include "libraries/drivers/answers/answer_store.hpp"

namespace turmeric::drivers
{

namespace
{

std::string key_of(const std::string& account, const std::string& request_id)
{
    return account + '\n' + request_id;
}

} // namespace

answer_store::answer_store(const answer_store_settings& settings,
                           const ports::clock& clock)
    : m_settings(settings)
    , m_clock(clock)
{
}

result<opened_answer> answer_store::open(const std::string& account,
                                         const std::string& request_id,
                                         std::uint64_t body_digest)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    forget_old_locked();
    std::string key = key_of(account, request_id);
    auto found = m_entries.find(key);
    if (found != m_entries.end())
    {
        if (found->second.body_digest != body_digest)
        {
            return error{result_code::request_id_reused, "Idempotency-Key",
                         "the request id was used with another body"};
        }
        // A cancelled answer never becomes whole.
        if (!found->second.record->is_cancelled())
        {
            return opened_answer{found->second.record, false};
        }
        return error{result_code::duplicate_request, "Idempotency-Key",
                     "the request of this id is being cancelled",
                     outcome::outcome_unknown, std::chrono::seconds(1)};
    }
    if (m_entries.size() >= m_settings.most_answers)
    {
        return error{result_code::ledger_full, "requests",
                     "too many requests are in flight", outcome::not_run,
                     std::chrono::seconds(1)};
    }
    entry made;
    made.record = std::make_shared<answer_record>(m_settings.most_unread_bytes);
    made.body_digest = body_digest;
    std::shared_ptr<answer_record> record = made.record;
    m_entries.emplace(std::move(key), std::move(made));
    return opened_answer{record, true};
}

void answer_store::close(const std::string& account,
                         const std::string& request_id, bool is_kept)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    std::string key = key_of(account, request_id);
    auto found = m_entries.find(key);
    if (found == m_entries.end())
    {
        return;
    }
    if (!is_kept)
    {
        m_entries.erase(found);
        return;
    }
    entry& ended = found->second;
    ended.is_ended = true;
    ended.kept_bytes = ended.record->byte_count();
    ended.ended_at = m_clock.steady_now();
    m_kept_bytes += ended.kept_bytes;
    m_ended.push_back(key);
    forget_old_locked();
}

std::size_t answer_store::in_flight() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_entries.size() - m_ended.size();
}

std::size_t answer_store::unread_bytes() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    std::size_t bytes = 0;
    for (const auto& [key, open] : m_entries)
    {
        bytes += open.is_ended ? 0 : open.record->unread_bytes();
    }
    return bytes;
}

void answer_store::forget_old_locked()
{
    ports::steady_time now = m_clock.steady_now();
    while (!m_ended.empty())
    {
        const entry& oldest = m_entries.at(m_ended.front());
        bool is_old = now - oldest.ended_at > m_settings.keep_time;
        if (!is_old && m_kept_bytes <= m_settings.most_kept_bytes)
        {
            return;
        }
        m_kept_bytes -= oldest.kept_bytes;
        m_entries.erase(m_ended.front());
        m_ended.pop_front();
    }
}

} // namespace turmeric::drivers
