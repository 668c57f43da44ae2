#include "libraries/domain/claim/claim_attempt.hpp"

#include <cassert>
#include <utility>

namespace turmeric::domain
{

claim_attempt::claim_attempt(claim_value value, std::int32_t max_calls)
    : m_value(std::move(value))
    , m_calls_left(max_calls)
{
    assert(max_calls > 0);
}

claim_step claim_attempt::next() const
{
    return m_step;
}

const claim_value& claim_attempt::value() const
{
    return m_value;
}

void claim_attempt::advance(claim_step step)
{
    --m_calls_left;
    const bool is_final =
        step == claim_step::granted || step == claim_step::refused;
    m_step = m_calls_left > 0 || is_final ? step : claim_step::unresolved;
}

void claim_attempt::on_create_result(claim_create_result event)
{
    assert(m_step == claim_step::create);
    switch (event)
    {
    case claim_create_result::created:
        advance(claim_step::granted);
        return;
    case claim_create_result::conflicted:
    case claim_create_result::unknown:
        // The key may have been created by an earlier call of this attempt
        // whose reply was lost. Only its value shows who created it.
        advance(claim_step::read);
        return;
    case claim_create_result::failed:
        advance(claim_step::create);
        return;
    }
}

void claim_attempt::on_read_result(const std::optional<claim_value>& found)
{
    assert(m_step == claim_step::read);
    if (!found.has_value())
    {
        advance(claim_step::create);
        return;
    }
    const bool is_own = found->incarnation == m_value.incarnation &&
                        found->attempt == m_value.attempt;
    advance(is_own ? claim_step::granted : claim_step::refused);
}

void claim_attempt::on_read_failed()
{
    assert(m_step == claim_step::read);
    advance(claim_step::read);
}

void claim_attempt::on_timeout()
{
    const bool is_open =
        m_step == claim_step::create || m_step == claim_step::read;
    m_step = is_open ? claim_step::unresolved : m_step;
}

std::string claim_key(const std::string& account, const std::string& request_id)
{
    return "/turmericfront/claims/" + account + "/" + request_id;
}

bool is_collectable(const claim_value& value, sys_seconds now,
                    std::chrono::seconds clock_skew)
{
    return now > value.kept_until + clock_skew;
}

} // namespace turmeric::domain
