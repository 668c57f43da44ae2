#pragma once

#include "libraries/core/logger.hpp"
#include "libraries/domain/membership/member.hpp"
#include "libraries/drivers/membership/membership_settings.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/key_value_store.hpp"

#include <optional>
#include <string>

namespace turmeric::drivers
{

/// Keeps this router's member key in the platform's key-value store, bound to
/// a lease.
/// Not thread safe.
class member_lease
{
public:
    /// Precondition: the referenced objects outlive this one. Not thread safe.
    member_lease(const domain::member& self,
                 const membership_settings& settings,
                 ports::key_value_store& store, logger& log);

    /// Creates the key, renews its lease or updates its value when that is due:
    /// one write for each third of the lease's duration and one for each change
    /// of state. Blocks for platform calls. Errors: those of the store; call
    /// again later. Not thread safe.
    status maintain(domain::member_state state, ports::steady_time now);

    /// Revokes the lease, which deletes the key. Blocks for a platform call.
    /// Not thread safe.
    void release();

    /// Returns whether the key is written under a lease that no store response
    /// reported as lost. Not thread safe.
    [[nodiscard]] bool is_registered() const;

private:
    status acquire(ports::steady_time now);
    status write(domain::member_state state);
    status renew(ports::steady_time now);

    domain::member m_self;
    const membership_settings& m_settings;
    ports::key_value_store& m_store;
    logger& m_log;
    ports::lease_id m_lease = 0;
    ports::steady_time m_renewed_at{};
    std::optional<domain::member_state> m_written_state;
};

} // namespace turmeric::drivers
