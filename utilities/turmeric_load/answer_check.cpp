#include "utilities/turmeric_load/answer_check.hpp"

#include "standins/common/response_text.hpp"

#include <algorithm>

namespace turmeric::load
{

answer_check::answer_check(std::uint64_t digest, std::int64_t tokens)
    : m_digest(digest)
    , m_tokens(tokens)
{
}

void answer_check::take(std::string_view text)
{
    while (!text.empty() && !m_is_wrong)
    {
        if (m_index == m_tokens)
        {
            m_is_wrong = true;
            return;
        }
        if (m_expected.empty())
        {
            standins::append_token(m_expected, m_digest, m_index);
        }
        const std::size_t length =
            std::min(text.size(), m_expected.size() - m_place);
        m_is_wrong = text.substr(0, length) !=
                     std::string_view(m_expected).substr(m_place, length);
        text.remove_prefix(length);
        m_place += length;
        if (m_place == m_expected.size())
        {
            ++m_index;
            m_expected.clear();
            m_place = 0;
        }
    }
}

std::int64_t answer_check::taken() const
{
    return m_index;
}

bool answer_check::is_wrong() const
{
    return m_is_wrong;
}

bool answer_check::is_whole() const
{
    return !m_is_wrong && m_index == m_tokens;
}

} // namespace turmeric::load
