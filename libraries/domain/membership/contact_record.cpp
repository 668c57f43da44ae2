#include "libraries/domain/membership/contact_record.hpp"

#include <algorithm>
#include <cassert>

namespace turmeric::domain
{

void contact_record::add(ports::steady_time at)
{
    add(contact_span{at, at});
}

void contact_record::add(const contact_span& span)
{
    assert(span.first <= span.last);
    if (!m_latest || span.first > m_latest->last + max_pause)
    {
        m_latest = span;
        return;
    }
    const bool is_earlier = span.last + max_pause < m_latest->first;
    if (!is_earlier)
    {
        m_latest->first = std::min(m_latest->first, span.first);
        m_latest->last = std::max(m_latest->last, span.last);
    }
}

std::optional<contact_span> contact_record::latest() const
{
    return m_latest;
}

ports::steady_time contact_record::present_since(ports::steady_time now) const
{
    const bool is_present = m_latest && now <= m_latest->last + max_pause;
    return is_present ? std::min(m_latest->first, now) : now;
}

} // namespace turmeric::domain
