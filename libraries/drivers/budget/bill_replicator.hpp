#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/budget/router_batch.hpp"
#include "libraries/ports/clock.hpp"

#include <string>

namespace turmeric::drivers
{

/// Keeps a copy of a bill elsewhere while the platform is out, so that it is
/// settled even if this router ends. Implementations are thread safe.
class bill_replica
{
public:
    bill_replica() = default;
    bill_replica(const bill_replica&) = delete;
    bill_replica& operator=(const bill_replica&) = delete;
    virtual ~bill_replica() = default;

    /// Returns once the copy is kept, or why it is not. Thread safe; blocks
    /// until `deadline` at most.
    virtual status keep(const std::string& incarnation,
                        const domain::bill_line& bill,
                        ports::steady_time deadline) = 0;
};

} // namespace turmeric::drivers
