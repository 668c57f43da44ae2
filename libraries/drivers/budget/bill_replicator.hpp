#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/budget/router_batch.hpp"
#include "libraries/ports/clock.hpp"

#include <string>

namespace turmeric::drivers
{

/// Keeps a copy of a bill elsewhere while the platform is out, so that it is
/// settled even if this router ends. Implementations are thread safe.
class bill_replicator
{
public:
    bill_replicator() = default;
    bill_replicator(const bill_replicator&) = delete;
    bill_replicator& operator=(const bill_replicator&) = delete;
    virtual ~bill_replicator() = default;

    /// Returns once the copy is kept, or why it is not. Thread safe; blocks
    /// until `deadline` at most.
    virtual status replicate(const std::string& incarnation,
                             const domain::bill_line& bill,
                             ports::steady_time deadline) = 0;
};

} // namespace turmeric::drivers
