#pragma once

#include "libraries/drivers/exchange/byte_budget.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/timer_queue.hpp"
#include "libraries/ports/upstream_transport.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace turmeric::drivers
{

/// The result of a call whose response is buffered until it is complete.
struct buffered_response
{
    /// Set if the call failed; the other members but `defect` are then unset.
    std::optional<ports::transport_failure> failure;
    /// What was wrong with the response, where the call failed for that.
    ports::response_defect defect = ports::response_defect::none;
    int status = 0;
    ports::header_fields fields;
    std::string body;
};

/// Makes one call, reads its complete response and then calls `done` exactly
/// once. A call that takes longer than `timeout`, or whose response body has
/// more than `max_response_bytes` bytes, is cancelled and fails with
/// `transport_failure::broken`. So does one whose body exceeds what is free of
/// `budget`, which calls can share, if it is set. Precondition: transport,
/// timers and clock outlive the call. Not thread safe.
void call_buffered(ports::upstream_transport& transport,
                   ports::timer_queue& timers, const ports::clock& clock,
                   ports::outgoing_call call, std::chrono::milliseconds timeout,
                   std::size_t max_response_bytes,
                   std::function<void(buffered_response)> done,
                   std::shared_ptr<byte_budget> budget = nullptr);

} // namespace turmeric::drivers
