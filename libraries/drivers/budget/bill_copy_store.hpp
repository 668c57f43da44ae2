#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/budget/router_batch.hpp"
#include "libraries/ports/clock.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace turmeric::drivers
{

/// A bill that another router released an answer for while the platform was
/// out.
struct bill_copy
{
    std::string incarnation;
    std::int32_t shard = 0;
    domain::bill_line bill;
    ports::steady_time stored_at;
};

/// Bounds of a copy store.
struct bill_copy_limits
{
    std::size_t copies = 50'000;
    /// Longer than an outage that the fleet is to bear, with its grants.
    std::chrono::seconds age{std::chrono::hours(2)};
};

/// Copies of other routers' bills, in memory and bounded. Thread safe.
class bill_copy_store
{
public:
    /// Precondition: `clock` outlives this.
    bill_copy_store(const bill_copy_limits& limits, const ports::clock& clock);

    /// Answers a peer's message of the kind "bill_copy": keeps its bills.
    /// Errors: `peer_protocol`, `ledger_full`. Thread safe.
    result<std::string> handle_message(const std::string& message);

    /// Returns the copies at hand. Thread safe.
    [[nodiscard]] std::vector<bill_copy> copies();

    /// Drops all copies of an incarnation in a shard. Thread safe.
    void erase(const std::string& incarnation, std::int32_t shard);

private:
    void erase_expired_locked();

    const bill_copy_limits m_limits;
    const ports::clock& m_clock;
    std::mutex m_mutex;
    std::deque<bill_copy> m_copies;
};

} // namespace turmeric::drivers
