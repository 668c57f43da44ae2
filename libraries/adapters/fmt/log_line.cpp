#include "libraries/adapters/fmt/log_line.hpp"

#include "libraries/core/json.hpp"

#include <algorithm>
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

std::string dump_compact(const json& value)
{
    constexpr int compact = -1;
    return value.dump(compact, ' ', false, json::error_handler_t::replace);
}

bool needs_quotes(const std::string& text)
{
    return text.empty() ||
           text.find_first_of(" =\"\n\t\\") != std::string::npos;
}

/// Returns whether a text needs no escapes in a JSON string.
bool is_plain(const std::string& text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char character)
                       {
                           return character >= ' ' && character <= '~' &&
                                  character != '"' && character != '\\';
                       });
}

std::string to_json_text(const log_field& field)
{
    const auto* text = std::get_if<std::string>(&field.value);
    if (text != nullptr && is_plain(*text))
    {
        return '"' + *text + '"';
    }
    return dump_compact(to_json(field));
}

std::string to_text(const log_field& field)
{
    const auto* text = std::get_if<std::string>(&field.value);
    if (text != nullptr && !needs_quotes(*text))
    {
        return *text;
    }
    return dump_compact(to_json(field));
}

/// The parts of a log line that differ between the formats.
struct line_layout
{
    const char* head;
    const char* field;
    const char* end;
    std::string (*value)(const log_field& field);
};

const line_layout& layout_of(log_format format)
{
    static const line_layout text = {"time={} level={} event={} name={}",
                                     " {}={}", "", to_text};
    static const line_layout json_line = {
        R"({{"time":"{}","level":"{}","event":{},"name":"{}")", R"(,"{}":{})",
        "}", to_json_text};
    return format == log_format::json ? json_line : text;
}

} // namespace

std::string format_log_line(log_format format, ports::system_time time,
                            log_level level, log_event event,
                            const std::string& process,
                            const std::vector<log_field>& fields)
{
    const line_layout& layout = layout_of(format);
    fmt::memory_buffer line;
    fmt::format_to(std::back_inserter(line), fmt::runtime(layout.head),
                   format_time(time), name_of(level), static_cast<int>(event),
                   name_of(event));
    const auto add = [&](const log_field& field)
    {
        fmt::format_to(std::back_inserter(line), fmt::runtime(layout.field),
                       field.name, layout.value(field));
    };
    add({"process", process});
    std::for_each(fields.begin(), fields.end(), add);
    return fmt::to_string(line) + layout.end;
}

log_level parse_log_level(const std::string& name)
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

log_format parse_log_format(const std::string& name)
{
    return name == "json" ? log_format::json : log_format::text;
}

} // namespace turmeric::adapters
