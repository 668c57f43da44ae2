#pragma once

#include "libraries/drivers/budget/batch_committer.hpp"
#include "libraries/ports/peer.hpp"

#include <functional>
#include <string>

namespace turmeric::drivers
{

/// Returns the peer address of the process that currently commits a shard;
/// empty for this process. Routers should mostly select the same process, by
/// rendezvous hashing over the members in view, but safety does not depend on
/// it. Thread safe.
using committer_selector = std::function<std::string(std::int32_t shard)>;

/// Forwards batches to the one process that commits their shard, so that the
/// platform has one writer for each shard regardless of the number of routers.
/// Commits with `local` if this process is selected or the peer call fails.
/// Thread safe.
class peer_committer final : public batch_committer
{
public:
    /// Precondition: all references outlive the committer.
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

/// Handles a peer's message of the kind "commit": commits its batch with
/// `local` and returns the encoded reply. Thread safe; blocks until `deadline`
/// at most.
result<std::string> handle_commit_message(const std::string& body,
                                          batch_committer& local,
                                          ports::steady_time deadline);

} // namespace turmeric::drivers
