#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/budget/router_batch.hpp"
#include "libraries/ports/clock.hpp"

#include <string>

namespace turmeric::drivers
{

/// Copies bills to other processes while the platform is unavailable, so that
/// they are settled even if this router ends. Implementations are thread safe.
class bill_replicator
{
public:
    bill_replicator() = default;
    bill_replicator(const bill_replicator&) = delete;
    bill_replicator& operator=(const bill_replicator&) = delete;
    virtual ~bill_replicator() = default;

    /// Returns success once a copy is stored, otherwise the reason why none is.
    /// Thread safe; blocks until `deadline` at most.
    virtual status replicate(const std::string& incarnation,
                             const domain::pending_bill& bill,
                             ports::steady_time deadline) = 0;
};

} // namespace turmeric::drivers
