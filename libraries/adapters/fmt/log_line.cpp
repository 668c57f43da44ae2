#include "libraries/adapters/fmt/log_line.hpp"

#include "libraries/core/json.hpp"

#include <array>
#include <fmt/chrono.h>
#include <fmt/format.h>

namespace turmeric::adapters
{

namespace
{

std::string format_time(ports::system_time time)
{
    auto since_epoch = time.time_since_epoch();
    auto millis =
        std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch) %
        std::chrono::seconds(1);
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                       fmt::gmtime(std::chrono::system_clock::to_time_t(time)),
                       millis.count());
}

json to_json(const log_field& field)
{
    return std::visit([](const auto& value) { return json(value); },
                      field.value);
}

std::string dump(const json& value)
{
    constexpr int compact = -1;
    return value.dump(compact, ' ', false, json::error_handler_t::replace);
}

bool needs_quotes(const std::string& text)
{
    return text.empty() ||
           text.find_first_of(" =\"\n\t\\") != std::string::npos;
}

std::string to_text(const log_field& field)
{
    const auto* text = std::get_if<std::string>(&field.value);
    if (text != nullptr && !needs_quotes(*text))
    {
        return *text;
    }
    return dump(to_json(field));
}

} // namespace

std::string format_log_line(log_format format, ports::system_time time,
                            log_level level, log_event event,
                            const std::string& process,
                            const std::vector<log_field>& fields)
{
    const std::string written_time = format_time(time);
    if (format == log_format::json)
    {
        json row = {{"time", written_time},
                    {"level", name_of(level)},
                    {"event", static_cast<int>(event)},
                    {"name", name_of(event)},
                    {"process", process}};
        for (const log_field& field : fields)
        {
            row[std::string(field.name)] = to_json(field);
        }
        return dump(row);
    }
    fmt::memory_buffer line;
    fmt::format_to(std::back_inserter(line),
                   "time={} level={} event={} name={} process={}", written_time,
                   name_of(level), static_cast<int>(event), name_of(event),
                   process);
    for (const log_field& field : fields)
    {
        fmt::format_to(std::back_inserter(line), " {}={}", field.name,
                       to_text(field));
    }
    return fmt::to_string(line);
}

log_level log_level_of(const std::string& name)
{
    constexpr std::array levels = {log_level::debug, log_level::info,
                                   log_level::warning, log_level::error};
    for (log_level level : levels)
    {
        if (name == name_of(level))
        {
            return level;
        }
    }
    return log_level::info;
}

log_format log_format_of(const std::string& name)
{
    return name == "json" ? log_format::json : log_format::text;
}

} // namespace turmeric::adapters
