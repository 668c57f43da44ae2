#include "libraries/drivers/budget/peer_committer.hpp"

#include "libraries/codecs/budget/batch_codec.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::drivers
{

peer_committer::peer_committer(ports::peer_caller& peers,
                               batch_committer& local,
                               const ports::clock& clock,
                               committer_selector select_committer,
                               std::chrono::milliseconds max_call_timeout)
    : m_peers(peers)
    , m_local(local)
    , m_clock(clock)
    , m_select_committer(std::move(select_committer))
    , m_max_call_timeout(max_call_timeout)
{
}

result<domain::batch_reply>
peer_committer::commit(std::int32_t shard, const domain::router_batch& batch,
                       ports::steady_time deadline)
{
    const std::string address = m_select_committer(shard);
    if (address.empty())
    {
        return m_local.commit(shard, batch, deadline);
    }
    const std::chrono::milliseconds left =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            deadline - m_clock.steady_now());
    result<std::string> response =
        m_peers.call(address, {"commit", codecs::encode_batch(shard, batch)},
                     std::min(left, m_max_call_timeout));
    if (!response)
    {
        // The peer may have committed the batch already. The batch's operation
        // number ensures that a second commit has no effect.
        return m_local.commit(shard, batch, deadline);
    }
    return codecs::decode_batch_reply(response.value());
}

result<std::string> handle_commit_message(const std::string& body,
                                          batch_committer& local,
                                          ports::steady_time deadline)
{
    result<codecs::forwarded_batch> decoded = codecs::decode_batch(body);
    if (!decoded)
    {
        return decoded.failure();
    }
    result<domain::batch_reply> reply =
        local.commit(decoded.value().shard, decoded.value().batch, deadline);
    if (!reply)
    {
        return reply.failure();
    }
    return codecs::encode_batch_reply(reply.value());
}

} // namespace turmeric::drivers
