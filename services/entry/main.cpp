#include "libraries/adapters/settings/daemon_options.hpp"
#include "libraries/core/json.hpp"
#include "services/entry/entry_process.hpp"
#include "services/entry/entry_settings.hpp"

#include <fmt/format.h>
#include <variant>

int main(int argc, char** argv)
{
    using turmeric::adapters::exit_code;
    const std::variant<turmeric::json, exit_code> options =
        turmeric::adapters::read_daemon_options(
            argc, argv, "turmeric_entry",
            "Serves callers on an entry VM of the users' platform.",
            turmeric::entry::entry_settings_schema());
    if (const exit_code* code = std::get_if<exit_code>(&options))
    {
        return static_cast<int>(*code);
    }
    turmeric::entry::entry_process process(turmeric::entry::read_entry_settings(
        std::get<turmeric::json>(options)));
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
