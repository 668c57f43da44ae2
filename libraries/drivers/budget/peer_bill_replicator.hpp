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

/// Keeps copies of bills in the memory of up to two peers. Thread safe.
class peer_bill_replicator final : public bill_replicator
{
public:
    /// Returns peer addresses, best first: other data centres before the
    /// own. Thread safe.
    using peer_address_source = std::function<std::vector<std::string>()>;

    /// Precondition: `peers` and `clock` outlive this; `shard_count` is that
    /// of the budgets.
    peer_bill_replicator(ports::peer_caller& peers, const ports::clock& clock,
                         peer_address_source addresses,
                         std::int32_t shard_count);

    /// Returns once two peers have the copy, or one when there is no other.
    /// Error: `peer_unavailable`. Thread safe; blocks.
    status replicate(const std::string& incarnation,
                     const domain::bill_line& bill,
                     ports::steady_time deadline) override;

private:
    ports::peer_caller& m_peers;
    const ports::clock& m_clock;
    const peer_address_source m_addresses;
    const std::int32_t m_shard_count;
};

} // namespace turmeric::drivers
