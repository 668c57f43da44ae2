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

/// A copy of another router's bill, stored while the platform was unavailable.
/// It allowed that router to complete the response before its bill was durable.
struct bill_copy
{
    std::string incarnation;
    std::int32_t shard = 0;
    domain::pending_bill bill;
    ports::steady_time stored_at;
};

/// Limits of a bill copy store.
struct bill_copy_limits
{
    std::size_t copies = 50'000;
    /// Exceeds the longest outage that the fleet is designed to survive on
    /// its grants.
    std::chrono::seconds age{std::chrono::hours(2)};
};

/// Keeps copies of other routers' bills in memory, limited in number and age.
/// Thread safe.
class bill_copy_store
{
public:
    /// Precondition: `clock` outlives the store.
    bill_copy_store(const bill_copy_limits& limits, const ports::clock& clock);

    /// Handles a peer's message of the kind "bill_copy": stores its bills and
    /// returns the reply. Thread safe.
    ///
    /// Errors: `peer_protocol`, `ledger_full`.
    result<std::string> handle_message(const std::string& message);

    /// Returns all copies that have not expired. Thread safe.
    [[nodiscard]] std::vector<bill_copy> copies();

    /// Erases all copies of an incarnation's bills in a shard. Thread safe.
    void erase(const std::string& incarnation, std::int32_t shard);

private:
    void erase_expired_locked();

    const bill_copy_limits m_limits;
    const ports::clock& m_clock;
    std::mutex m_mutex;
    std::deque<bill_copy> m_copies;
};

} // namespace turmeric::drivers
