#pragma once

#include "libraries/drivers/budget/batch_committer.hpp"
#include "libraries/ports/peer.hpp"

#include <functional>
#include <string>

namespace turmeric::drivers
{

/// Tells which process commits a shard now: its peer address, or empty for
/// this process. Thread safe. Routers should mostly agree, by rendezvous
/// hashing over the members in view, but safety does not depend on it.
using committer_selector = std::function<std::string(std::int32_t shard)>;

/// Forwards batches to the one process that commits their shard, so that the
/// platform sees one writer for each shard however many routers there are.
/// Without a peer, batches go to `local`. Thread safe.
class peer_committer final : public batch_committer
{
public:
    /// Precondition: both references outlive the committer.
    peer_committer(ports::peer_caller& peers, batch_committer& local,
                   const ports::clock& clock,
                   committer_selector select_committer,
                   std::chrono::milliseconds max_call_timeout);

    result<domain::batch_reply> commit(std::int32_t shard,
                                       const domain::router_batch& batch,
                                       ports::steady_time deadline) override;

private:
    ports::peer_caller& m_peers;
    batch_committer& m_local;
    const ports::clock& m_clock;
    committer_selector m_select_committer;
    std::chrono::milliseconds m_max_call_timeout;
};

/// Answers a peer's `commit` message with `local`. Thread safe; blocks.
result<std::string> handle_commit_message(const std::string& body,
                                          batch_committer& local,
                                          ports::steady_time deadline);

} // namespace turmeric::drivers
