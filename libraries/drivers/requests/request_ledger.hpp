#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/configuration/declarations.hpp"
#include "libraries/drivers/requests/request_context.hpp"
#include "libraries/ports/clock.hpp"

#include <cstdint>

namespace turmeric::drivers
{

/// Identifies a hold, the tokens reserved for one request.
using ledger_hold_id = std::uint64_t;

/// The operations on budgets that a run of a request needs. Implementations
/// are thread safe.
class request_ledger
{
public:
    request_ledger() = default;
    request_ledger(const request_ledger&) = delete;
    request_ledger& operator=(const request_ledger&) = delete;
    virtual ~request_ledger() = default;

    /// Places a hold on the request's `upper_bound` of tokens. For the errors,
    /// all with the effect `not_run`, see `domain::router_ledger::place_hold`.
    /// Thread safe; blocks.
    virtual result<ledger_hold_id> acquire(const request_context& request) = 0;

    /// Bills `used` tokens, waits until the bill is durable and returns the
    /// tokens billed. Error: `bill_undurable`. Thread safe; blocks.
    virtual result<domain::tokens> settle(ledger_hold_id hold,
                                          domain::tokens used) = 0;

    /// Releases a hold without a bill. Thread safe.
    virtual void release(ledger_hold_id hold) = 0;

    /// Creates the durable claim of a request that may run at most once.
    /// Errors: `claim_unresolved`, `duplicate_request`. Thread safe; blocks.
    virtual status claim(const request_context& request) = 0;
};

} // namespace turmeric::drivers
