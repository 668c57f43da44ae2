#include "utilities/turmericctl/timeline_builder.hpp"

#include "libraries/core/log_event.hpp"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <istream>
#include <set>

namespace turmeric::ctl
{

namespace
{

/// Events that report a change of a process's state, not of one request.
constexpr std::array context_events = {
    log_event::process_started,      log_event::process_stopping,
    log_event::process_stopped,      log_event::settings_reloaded,
    log_event::log_lines_dropped,    log_event::configuration_in_force,
    log_event::platform_call_failed, log_event::platform_recovered,
    log_event::lease_lost,           log_event::lease_acquired,
    log_event::upstream_ejected,
};
/// The number of these events that are shown from before the request, for each
/// process.
constexpr std::size_t max_context_before = 5;

bool is_context_event(int event)
{
    return std::any_of(context_events.begin(), context_events.end(),
                       [event](log_event candidate)
                       { return static_cast<int>(candidate) == event; });
}

bool is_older(const log_record& one, const log_record& other)
{
    return one.time < other.time;
}

std::vector<log_record> sorted(std::vector<log_record> records)
{
    std::stable_sort(records.begin(), records.end(), &is_older);
    return records;
}

bool is_printed_in_prefix(const std::string& name)
{
    return name == "time" || name == "level" || name == "event" ||
           name == "name" || name == "process";
}

} // namespace

timeline_builder::timeline_builder(std::string request_id)
    : m_request_id(std::move(request_id))
{
}

void timeline_builder::add(std::istream& log)
{
    std::string line;
    while (std::getline(log, line))
    {
        add_line(line);
    }
}

void timeline_builder::add_line(std::string_view line)
{
    const std::size_t start = line.find('{');
    if (start == std::string_view::npos)
    {
        m_unreadable_lines += line.empty() ? 0 : 1;
        return;
    }
    json fields = json::parse(line.substr(start), nullptr, false);
    if (!fields.is_object() || !fields.contains("time") ||
        !fields["time"].is_string() || !fields.contains("event") ||
        !fields["event"].is_number_integer())
    {
        ++m_unreadable_lines;
        return;
    }
    log_record record;
    record.time = fields["time"].get<std::string>();
    record.event = fields["event"].get<int>();
    if (fields.contains("process") && fields["process"].is_string())
    {
        record.process = fields["process"].get<std::string>();
    }
    const auto id = fields.find("request_id");
    const bool is_about_request = id != fields.end() && *id == m_request_id;
    record.fields = std::move(fields);
    if (is_about_request)
    {
        m_request_records.push_back(std::move(record));
    }
    else if (is_context_event(record.event))
    {
        m_context_records.push_back(std::move(record));
    }
}

std::size_t timeline_builder::unreadable_lines() const
{
    return m_unreadable_lines;
}

std::vector<log_record> timeline_builder::timeline() const
{
    std::vector<log_record> merged = m_request_records;
    std::set<std::string> processes;
    for (const log_record& record : m_request_records)
    {
        processes.insert(record.process);
    }
    const std::vector<log_record> request_records = sorted(m_request_records);
    const std::vector<log_record> context_records = sorted(m_context_records);
    for (const std::string& process : processes)
    {
        std::size_t count_before = 0;
        for (auto record = context_records.rbegin();
             record != context_records.rend(); ++record)
        {
            if (record->process != process ||
                record->time > request_records.back().time)
            {
                continue;
            }
            count_before += record->time < request_records.front().time ? 1 : 0;
            if (count_before <= max_context_before)
            {
                merged.push_back(*record);
            }
        }
    }
    return sorted(std::move(merged));
}

std::string format_record(const log_record& record)
{
    const std::string name = record.fields.value("name", std::string("?"));
    std::string line = fmt::format("{} {} {} {}", record.time, record.process,
                                   record.event, name);
    for (const auto& [key, value] : record.fields.items())
    {
        if (!is_printed_in_prefix(key))
        {
            line += fmt::format(" {}={}", key, value.dump());
        }
    }
    return line;
}

} // namespace turmeric::ctl
