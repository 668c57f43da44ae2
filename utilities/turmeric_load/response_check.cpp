#include "utilities/turmeric_load/response_check.hpp"

#include "standins/common/response_text.hpp"

#include <algorithm>

namespace turmeric::load
{

response_check::response_check(std::uint64_t digest, std::int64_t tokens)
    : m_digest(digest)
    , m_tokens(tokens)
{
}

void response_check::feed(std::string_view text)
{
    while (!text.empty() && !m_is_wrong)
    {
        if (m_token_index == m_tokens)
        {
            m_is_wrong = true;
            return;
        }
        if (m_expected_token.empty())
        {
            standins::append_token(m_expected_token, m_digest, m_token_index);
        }
        const std::size_t length =
            std::min(text.size(), m_expected_token.size() - m_offset);
        m_is_wrong =
            text.substr(0, length) !=
            std::string_view(m_expected_token).substr(m_offset, length);
        text.remove_prefix(length);
        m_offset += length;
        if (m_offset == m_expected_token.size())
        {
            ++m_token_index;
            m_expected_token.clear();
            m_offset = 0;
        }
    }
}

std::int64_t response_check::received_tokens() const
{
    return m_token_index;
}

bool response_check::is_wrong() const
{
    return m_is_wrong;
}

bool response_check::is_complete() const
{
    return !m_is_wrong && m_token_index == m_tokens;
}

} // namespace turmeric::load
