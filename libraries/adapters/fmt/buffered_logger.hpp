#pragma once

#include "libraries/adapters/fmt/flag_lock.hpp"
#include "libraries/adapters/fmt/log_line.hpp"
#include "libraries/core/logger.hpp"
#include "libraries/ports/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace turmeric::adapters
{

/// Buffers log lines in memory and writes them to a descriptor when `flush` is
/// called, without waiting for the reader of the descriptor. When the buffer is
/// full since the reader is too slow, lines are dropped and counted: those of
/// `info` and below first, so that there is room for warnings and errors
/// longer. Thread safe.
class buffered_logger final : public logger
{
public:
    /// Logs events of level `min_level` and above to the descriptor `output`.
    /// Precondition: `clock` outlives this object; `output` is open.
    buffered_logger(const ports::clock& clock, log_level min_level,
                    log_format format, std::string process, int output);

    void write(log_level level, log_event event,
               const std::vector<log_field>& fields) override;

    /// Writes as much as the descriptor accepts without waiting. Logs how many
    /// lines were dropped since the last report. Thread safe.
    void flush();

    /// Writes all buffered lines, but stops when the descriptor accepts nothing
    /// for 50 ms. For the end of a process. Thread safe.
    void flush_before_exit();

    /// Writes the buffered lines and then `last_line` as the process ends by a
    /// failure. For a signal handler: allocates nothing, and leaves the
    /// buffered lines out if another writer does not release the buffer within
    /// 50 ms, as the failure may have come about while it was changed. Nothing
    /// can be logged afterwards.
    void write_last_words(std::string_view last_line) noexcept;

    /// Returns how many lines were dropped since the start. Thread safe.
    [[nodiscard]] std::uint64_t dropped_lines() const;

private:
    /// Returns whether the buffer is too full for lines of that level.
    [[nodiscard]] bool is_full_for(log_level level) const;
    void append(log_level level, log_event event,
                const std::vector<log_field>& fields);
    void write_buffered(int wait_ms);
    /// Writes `bytes` until the descriptor accepts nothing for `wait_ms`.
    /// Returns how many were written.
    std::size_t write_bytes(std::string_view bytes, int wait_ms) noexcept;

    const ports::clock& m_clock;
    log_level m_min_level;
    log_format m_format;
    std::string m_process;
    int m_output;
    mutable flag_lock m_lock;
    std::string m_buffer;
    std::uint64_t m_dropped_lines = 0;
    std::uint64_t m_reported_dropped_lines = 0;
};

} // namespace turmeric::adapters
