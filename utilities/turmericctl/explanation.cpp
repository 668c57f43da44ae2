#include "utilities/turmericctl/explanation.hpp"

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

/// Lines that say what a process believes, not what one request did.
constexpr std::array context_events = {
    log_event::process_started,      log_event::process_stopping,
    log_event::process_stopped,      log_event::settings_reloaded,
    log_event::log_lines_dropped,    log_event::configuration_in_force,
    log_event::platform_call_failed, log_event::platform_recovered,
    log_event::lease_lost,           log_event::lease_acquired,
    log_event::upstream_ejected,
};
/// How many of them are shown from before the request, by process.
constexpr std::size_t most_before = 5;

bool is_context(int event)
{
    return std::any_of(context_events.begin(), context_events.end(),
                       [event](log_event one)
                       { return static_cast<int>(one) == event; });
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

bool is_named_first(const std::string& name)
{
    return name == "time" || name == "level" || name == "event" ||
           name == "name" || name == "process";
}

} // namespace

explanation::explanation(std::string request_id)
    : m_request_id(std::move(request_id))
{
}

void explanation::add(std::istream& log)
{
    std::string line;
    while (std::getline(log, line))
    {
        take(line);
    }
}

void explanation::take(std::string_view line)
{
    const std::size_t start = line.find('{');
    if (start == std::string_view::npos)
    {
        m_unreadable += line.empty() ? 0 : 1;
        return;
    }
    json fields = json::parse(line.substr(start), nullptr, false);
    if (!fields.is_object() || !fields.contains("time") ||
        !fields["time"].is_string() || !fields.contains("event") ||
        !fields["event"].is_number_integer())
    {
        ++m_unreadable;
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
    const bool is_own = id != fields.end() && *id == m_request_id;
    record.fields = std::move(fields);
    if (is_own)
    {
        m_own.push_back(std::move(record));
    }
    else if (is_context(record.event))
    {
        m_context.push_back(std::move(record));
    }
}

std::size_t explanation::unreadable() const
{
    return m_unreadable;
}

std::vector<log_record> explanation::timeline() const
{
    std::vector<log_record> joined = m_own;
    std::set<std::string> processes;
    for (const log_record& record : m_own)
    {
        processes.insert(record.process);
    }
    const std::vector<log_record> own = sorted(m_own);
    const std::vector<log_record> context = sorted(m_context);
    for (const std::string& process : processes)
    {
        std::size_t before = 0;
        for (auto record = context.rbegin(); record != context.rend(); ++record)
        {
            if (record->process != process || record->time > own.back().time)
            {
                continue;
            }
            before += record->time < own.front().time ? 1 : 0;
            if (before <= most_before)
            {
                joined.push_back(*record);
            }
        }
    }
    return sorted(std::move(joined));
}

std::string format_record(const log_record& record)
{
    const std::string name = record.fields.value("name", std::string("?"));
    std::string line = fmt::format("{} {} {} {}", record.time, record.process,
                                   record.event, name);
    for (const auto& [key, value] : record.fields.items())
    {
        if (!is_named_first(key))
        {
            line += fmt::format(" {}={}", key, value.dump());
        }
    }
    return line;
}

} // namespace turmeric::ctl
