#pragma once

#include <chrono>

namespace turmeric::adapters
{

/// Turns SIGTERM and SIGINT into a call that returns. Make it first in
/// `main`, before any other thread starts. Not thread safe.
class stop_signals
{
public:
    /// Blocks the two signals and ignores SIGPIPE in the process.
    stop_signals();

    /// Waits for the first signal. Not thread safe.
    void wait();

    /// Waits up to `time` for a signal; returns whether one came. Not thread
    /// safe.
    bool wait_for(std::chrono::milliseconds timeout);
};

} // namespace turmeric::adapters
