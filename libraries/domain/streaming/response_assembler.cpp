#include "libraries/domain/streaming/response_assembler.hpp"

#include <algorithm>

namespace turmeric::domain
{

namespace
{

error stream_error(const char* detail)
{
    return error{result_code::stream_broken, "offset", detail,
                 outcome::outcome_unknown};
}

} // namespace

result<std::vector<std::string>>
response_assembler::accept(const response_chunk& chunk)
{
    tokens end = chunk.offset + static_cast<tokens>(chunk.texts.size());
    if (chunk.offset < 0 || (m_total && end > *m_total))
    {
        return stream_error("tokens outside of the response");
    }
    tokens pending_end = m_next + static_cast<tokens>(max_pending_tokens);
    if (end > pending_end && chunk.offset > m_next)
    {
        return stream_error("too many tokens after a gap in the response");
    }
    std::vector<std::string> ready;
    tokens position = chunk.offset;
    for (const std::string& text : chunk.texts)
    {
        if (position == m_next)
        {
            ready.push_back(text);
            ++m_next;
        }
        else if (position > m_next)
        {
            m_pending.emplace(position, text);
        }
        ++position;
    }
    m_pending.erase(m_pending.begin(), m_pending.lower_bound(m_next));
    while (!m_pending.empty() && m_pending.begin()->first == m_next)
    {
        ready.push_back(std::move(m_pending.begin()->second));
        m_pending.erase(m_pending.begin());
        ++m_next;
    }
    return ready;
}

status response_assembler::set_total(tokens total)
{
    tokens seen = m_pending.empty() ? m_next : m_pending.rbegin()->first + 1;
    if (total < seen || (m_total && *m_total != total))
    {
        return stream_error("attempts disagree on the length of the response");
    }
    m_total = total;
    return success();
}

tokens response_assembler::delivered() const
{
    return m_next;
}

bool response_assembler::is_complete() const
{
    return m_total == m_next;
}

} // namespace turmeric::domain
