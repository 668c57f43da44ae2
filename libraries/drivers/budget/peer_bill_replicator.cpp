#include "libraries/drivers/budget/peer_bill_replicator.hpp"

#include "libraries/codecs/budget/batch_codec.hpp"
#include "libraries/domain/budget/budget_shard.hpp"

#include <algorithm>

namespace turmeric::drivers
{

namespace
{

constexpr int target_copies = 2;
constexpr std::chrono::milliseconds max_call_timeout{1'000};

std::string account_of(const std::string& budget)
{
    return budget.substr(0, budget.find('/'));
}

} // namespace

peer_bill_replicator::peer_bill_replicator(ports::peer_caller& peers,
                                           const ports::clock& clock,
                                           peer_address_source addresses,
                                           std::int32_t shard_count)
    : m_peers(peers)
    , m_clock(clock)
    , m_addresses(std::move(addresses))
    , m_shard_count(shard_count)
{
}

status peer_bill_replicator::replicate(const std::string& incarnation,
                                       const domain::pending_bill& bill,
                                       ports::steady_time deadline)
{
    domain::router_batch batch;
    batch.incarnation = incarnation;
    batch.bills.push_back(bill);
    std::int32_t shard =
        domain::shard_of(account_of(bill.budget), m_shard_count);
    ports::peer_message message{"bill_copy",
                                codecs::encode_batch(shard, batch)};
    int copies = 0;
    for (const std::string& address : m_addresses())
    {
        auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            deadline - m_clock.steady_now());
        if (copies == target_copies || left.count() <= 0)
        {
            break;
        }
        copies +=
            m_peers.call(address, message, std::min(left, max_call_timeout))
                ? 1
                : 0;
    }
    if (copies == 0)
    {
        return error{result_code::peer_unavailable, "peers",
                     "no peer stored a copy of the bill"};
    }
    return success();
}

} // namespace turmeric::drivers
