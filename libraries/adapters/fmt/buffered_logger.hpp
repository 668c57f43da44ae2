#pragma once

#include "libraries/adapters/fmt/log_line.hpp"
#include "libraries/core/logger.hpp"
#include "libraries/ports/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>

namespace turmeric::adapters
{

/// Collects log lines in memory and writes them when told to, without ever
/// waiting for their reader. While the reader does not read, lines are
/// dropped and counted: those of `info` and below first, so that the lines of
/// failures are kept the longest. Thread safe.
class buffered_logger final : public logger
{
public:
    /// Logs events of at least `least` to the descriptor `output`.
    /// Precondition: `clock` outlives this; `output` is open.
    buffered_logger(const ports::clock& clock, log_level min_level,
                    log_format format, std::string process, int output);

    void write(log_level level, log_event event,
               const std::vector<log_field>& fields) override;

    /// Writes what the descriptor takes at once. Thread safe.
    void flush();

    /// Writes all that is kept, waiting for the reader for a short while at
    /// most. For the end of a process. Thread safe.
    void flush_before_exit();

    /// Returns how many lines were dropped. Thread safe.
    [[nodiscard]] std::uint64_t dropped_lines() const;

private:
    [[nodiscard]] bool is_full_for(log_level level) const;
    void append(log_level level, log_event event,
                const std::vector<log_field>& fields);
    void write_buffered(int wait_ms);

    const ports::clock& m_clock;
    log_level m_min_level;
    log_format m_format;
    std::string m_process;
    int m_output;
    mutable std::mutex m_mutex;
    std::string m_buffer;
    std::uint64_t m_dropped_lines = 0;
    std::uint64_t m_reported_dropped_lines = 0;
};

} // namespace turmeric::adapters
