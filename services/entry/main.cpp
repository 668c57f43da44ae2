#include "libraries/adapters/settings/daemon_options.hpp"
#include "services/entry/entry_process.hpp"
#include "services/entry/entry_settings.hpp"
#include "services/entry/last_words.hpp"

#include <csignal>
#include <fmt/format.h>
#include <malloc.h>
#include <optional>
#include <variant>

namespace
{

using turmeric::adapters::daemon_options;
using turmeric::adapters::exit_code;
using turmeric::entry::entry_process;
using turmeric::entry::entry_settings;

std::variant<daemon_options, exit_code> read_options(int argc, char** argv)
{
    return turmeric::adapters::read_daemon_options(
        argc, argv, "turmeric_entry",
        "Serves callers on an entry VM of the users' platform.",
        turmeric::entry::entry_settings_schema());
}

} // namespace

int main(int argc, char** argv)
{
    // A log that nothing reads any more, or that has reached the limit of its
    // file's size, must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN);
    // Large bodies get memory of their own, which returns to the system with
    // them. By default the allocator keeps it once one of them was released.
    constexpr int min_separate_bytes = 128 << 10;
    ::mallopt(M_MMAP_THRESHOLD, min_separate_bytes);
    const std::variant<daemon_options, exit_code> options =
        read_options(argc, argv);
    if (const exit_code* code = std::get_if<exit_code>(&options))
    {
        return static_cast<int>(*code);
    }
    const auto read_settings = [argc, argv]() -> std::optional<entry_settings>
    {
        const std::variant<daemon_options, exit_code> new_options =
            read_options(argc, argv);
        if (const daemon_options* reloaded_options =
                std::get_if<daemon_options>(&new_options))
        {
            return turmeric::entry::read_entry_settings(
                reloaded_options->settings);
        }
        return std::nullopt;
    };
    const daemon_options& startup_options = std::get<daemon_options>(options);
    const entry_settings settings =
        turmeric::entry::read_entry_settings(startup_options.settings);
    entry_process process(settings, read_settings, startup_options.file);
    turmeric::entry::install_last_words(process.log(), settings.format,
                                        settings.vm);
    const turmeric::status opened = process.open();
    if (!opened)
    {
        fmt::print(stderr, "turmeric_entry: {} ({}): {}: {}\n",
                   static_cast<int>(opened.failure().code),
                   name_of(opened.failure().code), opened.failure().field,
                   opened.failure().detail);
        return static_cast<int>(exit_code::failure);
    }
    process.run();
    return static_cast<int>(exit_code::success);
}
