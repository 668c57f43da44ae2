#include "libraries/drivers/membership/member_lease.hpp"

#include "libraries/codecs/membership/membership_json.hpp"

namespace turmeric::drivers
{

member_lease::member_lease(const domain::member& self,
                           const membership_settings& settings,
                           ports::key_value_store& store, logger& log)
    : m_self(self)
    , m_settings(settings)
    , m_store(store)
    , m_log(log)
{
}

status member_lease::maintain(domain::member_state state,
                              ports::steady_time now)
{
    if (m_lease == 0)
    {
        status acquired = acquire(now);
        if (!acquired)
        {
            return acquired;
        }
    }
    if (now - m_renewed_at >= m_settings.lease_ttl / 3)
    {
        status renewed = renew(now);
        if (!renewed)
        {
            return renewed;
        }
    }
    return m_written_state == state ? success() : write(state);
}

status member_lease::acquire(ports::steady_time now)
{
    // If the reply is lost, the granted lease has no key and expires unused.
    result<ports::lease_id> created =
        m_store.create_lease(m_settings.lease_ttl);
    if (!created)
    {
        return created.failure();
    }
    m_lease = created.value();
    m_renewed_at = now;
    m_written_state.reset();
    m_log.write(log_level::info, log_event::lease_acquired,
                {{"lease", std::int64_t{m_lease}}});
    return success();
}

status member_lease::renew(ports::steady_time now)
{
    status renewed = m_store.renew_lease(m_lease);
    if (renewed)
    {
        m_renewed_at = now;
        return renewed;
    }
    if (renewed.failure().code == result_code::lease_lost)
    {
        m_log.write(log_level::warning, log_event::lease_lost,
                    {{"lease", std::int64_t{m_lease}}});
        m_lease = 0;
        return acquire(now);
    }
    return renewed;
}

status member_lease::write(domain::member_state state)
{
    std::string key = m_settings.member_prefix + m_self.incarnation;
    // An earlier write whose reply was lost may have taken effect, so the
    // key's revision is read first.
    result<std::optional<ports::key_value>> present = m_store.get(key);
    if (!present)
    {
        return present.failure();
    }
    ports::revision expected =
        present.value() ? present.value()->modification_revision : 0;
    result<ports::revision> written = m_store.compare_and_swap(
        key, codecs::write_member(m_self, state), expected, m_lease);
    if (!written)
    {
        if (written.failure().code == result_code::lease_lost)
        {
            m_lease = 0;
        }
        return written.failure();
    }
    m_written_state = state;
    return success();
}

void member_lease::release()
{
    if (m_lease != 0)
    {
        // If the call fails, the lease expires by itself.
        static_cast<void>(m_store.revoke_lease(m_lease).has_value());
        m_lease = 0;
        m_written_state.reset();
    }
}

bool member_lease::is_registered() const
{
    return m_lease != 0 && m_written_state.has_value();
}

} // namespace turmeric::drivers
