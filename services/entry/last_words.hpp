#pragma once

#include "libraries/adapters/fmt/buffered_logger.hpp"
#include "libraries/adapters/fmt/log_line.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace turmeric::entry
{

/// Makes the process write its buffered log lines and one last line
/// (`process_failed`) when it ends by a fatal signal, a failed assertion or an
/// uncaught exception. It still ends by the same signal. Signals that already
/// have a handler, such as those of a sanitizer, are left alone. Precondition:
/// `log` lives until the process ends; called once, before other threads start.
void install_last_words(adapters::buffered_logger& log,
                        adapters::log_format format,
                        const std::string& process);

/// Gives the thread that creates it a separate stack for the handlers, which a
/// stack overflow needs, unless the thread has one already. Each thread but the
/// one that called `install_last_words` creates one. Destroyed on the thread
/// that created it.
class signal_stack
{
public:
    signal_stack();
    ~signal_stack();
    signal_stack(const signal_stack&) = delete;
    signal_stack& operator=(const signal_stack&) = delete;

private:
    std::vector<std::byte> m_memory;
    bool m_is_in_use = false;
};

} // namespace turmeric::entry
