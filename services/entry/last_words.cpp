#include "services/entry/last_words.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <exception>
#include <string_view>

namespace turmeric::entry
{

namespace
{

/// The time that lines which are prepared at the start have until the end.
constexpr std::string_view unset_time = "1970-01-01T00:00:00.000Z";
/// A value with a blank, so that the log formats put it in quotes.
constexpr std::string_view unset_exception = "no exception";
constexpr std::size_t max_exception_bytes = 200;
constexpr std::size_t signal_stack_bytes = 64 << 10;

struct fatal_signal
{
    int number;
    const char* name;
};

constexpr std::array fatal_signals = {
    fatal_signal{SIGABRT, "SIGABRT"}, fatal_signal{SIGSEGV, "SIGSEGV"},
    fatal_signal{SIGBUS, "SIGBUS"}, fatal_signal{SIGILL, "SIGILL"},
    fatal_signal{SIGFPE, "SIGFPE"}};

/// What the handlers use. It is complete before they are installed, and is
/// never destroyed.
struct last_words_state
{
    adapters::buffered_logger* log = nullptr;
    /// One line for each of `fatal_signals`, split at the exception's text.
    std::array<std::string, fatal_signals.size()> line_starts;
    std::array<std::string, fatal_signals.size()> line_ends;
    std::array<char, max_exception_bytes> exception{};
    std::size_t exception_bytes = 0;
    /// Where the line is composed when the process ends.
    std::string line;
};

last_words_state& state()
{
    static last_words_state* instance = new last_words_state;
    return *instance;
}

/// Writes `value` as `digits` decimal digits.
void write_digits(char* to, int digits, std::int64_t value)
{
    constexpr int base = 10;
    for (int index = digits - 1; index >= 0; --index)
    {
        to[index] = static_cast<char>('0' + value % base);
        value /= base;
    }
}

/// Overwrites `unset_time` at `to` by the present time. Allocates nothing and
/// takes no lock, unlike gmtime.
void write_time(char* to)
{
    timespec now{};
    ::clock_gettime(CLOCK_REALTIME, &now);
    const std::chrono::sys_seconds seconds{std::chrono::seconds(now.tv_sec)};
    const auto day = std::chrono::floor<std::chrono::days>(seconds);
    const std::chrono::year_month_day date(day);
    const std::chrono::hh_mm_ss time(seconds - day);
    constexpr long nanoseconds_per_ms = 1'000'000;
    write_digits(to, 4, static_cast<int>(date.year()));
    write_digits(to + 5, 2, static_cast<unsigned int>(date.month()));
    write_digits(to + 8, 2, static_cast<unsigned int>(date.day()));
    write_digits(to + 11, 2, time.hours().count());
    write_digits(to + 14, 2, time.minutes().count());
    write_digits(to + 17, 2, time.seconds().count());
    write_digits(to + 20, 3, now.tv_nsec / nanoseconds_per_ms);
}

void on_fatal_signal(int number)
{
    last_words_state& words = state();
    std::size_t index = 0;
    while (index + 1 < fatal_signals.size() &&
           fatal_signals[index].number != number)
    {
        ++index;
    }
    // The capacity was reserved at the start, so that nothing is allocated.
    words.line.clear();
    words.line += words.line_starts[index];
    if (words.exception_bytes > 0)
    {
        words.line.append(words.exception.data(), words.exception_bytes);
    }
    else
    {
        words.line += unset_exception;
    }
    words.line += words.line_ends[index];
    const std::size_t time = words.line.find(unset_time);
    if (time != std::string::npos)
    {
        write_time(words.line.data() + time);
    }
    words.log->write_last_words(words.line);
    // SA_RESETHAND has restored the default action, which is taken on return.
    ::raise(number);
}

/// Keeps the text of an exception without the characters that either log
/// format would have to escape.
void keep_exception_text(std::string_view text)
{
    last_words_state& words = state();
    for (char character : text)
    {
        if (words.exception_bytes == max_exception_bytes)
        {
            return;
        }
        const bool is_plain = character >= ' ' && character <= '~' &&
                              character != '"' && character != '\\';
        words.exception[words.exception_bytes++] = is_plain ? character : '\'';
    }
}

[[noreturn]] void on_terminate()
{
    if (const std::exception_ptr current = std::current_exception())
    {
        try
        {
            std::rethrow_exception(current);
        }
        catch (const std::exception& exception)
        {
            keep_exception_text(exception.what());
        }
        catch (...)
        {
            keep_exception_text("not a std::exception");
        }
    }
    std::abort();
}

void install_handler(int number)
{
    struct sigaction previous = {};
    if (::sigaction(number, nullptr, &previous) != 0 ||
        previous.sa_handler != SIG_DFL)
    {
        return;
    }
    struct sigaction action = {};
    action.sa_handler = on_fatal_signal;
    action.sa_flags = static_cast<int>(SA_RESETHAND | SA_ONSTACK);
    ::sigemptyset(&action.sa_mask);
    ::sigaction(number, &action, nullptr);
}

} // namespace

void install_last_words(adapters::buffered_logger& log,
                        adapters::log_format format, const std::string& process)
{
    last_words_state& words = state();
    words.log = &log;
    std::size_t longest = 0;
    for (std::size_t index = 0; index < fatal_signals.size(); ++index)
    {
        std::string line = adapters::format_log_line(
            format, ports::system_time(), log_level::error,
            log_event::process_failed, process,
            {{"signal", std::string(fatal_signals[index].name)},
             {"exception", std::string(unset_exception)}});
        line += '\n';
        const std::size_t split = line.rfind(unset_exception);
        words.line_starts[index] = line.substr(0, split);
        words.line_ends[index] = line.substr(split + unset_exception.size());
        longest = std::max(longest, line.size());
    }
    words.line.reserve(longest + max_exception_bytes);
    static const signal_stack main_stack;
    for (const fatal_signal& one : fatal_signals)
    {
        install_handler(one.number);
    }
    std::set_terminate(on_terminate);
}

signal_stack::signal_stack()
    : m_memory(signal_stack_bytes)
{
    // A sanitizer sets one of its own and releases it as the thread ends.
    stack_t present = {};
    const bool has_other = ::sigaltstack(nullptr, &present) != 0 ||
                           (present.ss_flags & SS_DISABLE) == 0;
    if (has_other)
    {
        return;
    }
    stack_t stack = {};
    stack.ss_sp = m_memory.data();
    stack.ss_size = m_memory.size();
    m_is_in_use = ::sigaltstack(&stack, nullptr) == 0;
}

signal_stack::~signal_stack()
{
    if (m_is_in_use)
    {
        stack_t disabled = {};
        disabled.ss_flags = SS_DISABLE;
        ::sigaltstack(&disabled, nullptr);
    }
}

} // namespace turmeric::entry
