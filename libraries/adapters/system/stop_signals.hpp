#pragma once

#include <chrono>

namespace turmeric::adapters
{

/// Waits for SIGTERM and SIGINT. Construct it at the start of `main`, before
/// any other thread starts, so that all threads inherit the blocked signals.
/// Not thread safe.
class stop_signals
{
public:
    /// Blocks the two signals and ignores SIGPIPE in the process.
    stop_signals();

    /// Blocks until one of the two signals arrives. Not thread safe.
    void wait();

    /// Waits up to `timeout` for one of the two signals. Returns whether one
    /// arrived. Not thread safe.
    bool wait_for(std::chrono::milliseconds timeout);
};

} // namespace turmeric::adapters
