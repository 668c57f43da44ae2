#pragma once

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

/// What became of a call whose answer was read whole.
struct buffered_response
{
    /// Set when the call failed; the rest is empty then.
    std::optional<ports::transport_failure> failure;
    int status = 0;
    std::string body;
};

/// Makes one call, reads its whole answer and then calls `done`, once. A
/// call that takes longer than `timeout`, or whose answer is larger than
/// `max_response_bytes`, ends as broken. Precondition: transport, timers and
/// clock outlive the call. Not thread safe.
void call_buffered(ports::upstream_transport& transport,
                   ports::timer_queue& timers, const ports::clock& clock,
                   ports::outgoing_call call, std::chrono::milliseconds timeout,
                   std::size_t max_response_bytes,
                   std::function<void(buffered_response)> done);

} // namespace turmeric::drivers
