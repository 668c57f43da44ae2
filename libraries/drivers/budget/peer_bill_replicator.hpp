#pragma once

#include "libraries/drivers/budget/bill_replicator.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/peer.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace turmeric::drivers
{

/// Copies bills to the memory of up to two peers. Thread safe.
class peer_bill_replicator final : public bill_replicator
{
public:
    /// Returns peer addresses in order of preference: those in other data
    /// centres before those in the own one. Thread safe.
    using peer_address_source = std::function<std::vector<std::string>()>;

    /// Preconditions: `peers` and `clock` outlive the replicator; `shard_count`
    /// is the number of budget shards.
    peer_bill_replicator(ports::peer_caller& peers, const ports::clock& clock,
                         peer_address_source addresses,
                         std::int32_t shard_count);

    /// Returns success once two peers have a copy, or one peer if no other can
    /// be reached in time. Thread safe; blocks until `deadline` at most.
    ///
    /// Errors: `peer_unavailable`.
    status replicate(const std::string& incarnation,
                     const domain::pending_bill& bill,
                     ports::steady_time deadline) override;

private:
    ports::peer_caller& m_peers;
    const ports::clock& m_clock;
    const peer_address_source m_addresses;
    const std::int32_t m_shard_count;
};

} // namespace turmeric::drivers
