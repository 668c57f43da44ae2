#pragma once

#include "libraries/core/json.hpp"

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace turmeric::ctl
{

/// One line of a process's log.
struct log_record
{
    /// As written: UTC with milliseconds, so that texts compare as times.
    std::string time;
    std::string process;
    /// The numbered event, see docs/events.md.
    int event = 0;
    json fields;
};

/// Joins what the logs of several processes say of one request into one
/// timeline: its own lines, and of the processes that served it what changed
/// their belief shortly before or meanwhile (start, stop, settings,
/// configuration, the store lost or regained, upstreams ejected). Clocks of
/// VMs may differ, so lines of different processes may stand out of order by
/// that much. Not thread safe.
class timeline_builder
{
public:
    explicit timeline_builder(std::string request_id);

    /// Takes in the JSON lines of a log. What stands before the `{` of a
    /// line is passed over; lines that are no log lines are counted.
    void add(std::istream& log);

    /// Returns how many lines could not be read.
    [[nodiscard]] std::size_t unreadable_lines() const;

    /// Returns the timeline, oldest first; empty if no line is about the
    /// request.
    [[nodiscard]] std::vector<log_record> timeline() const;

private:
    void add_line(std::string_view line);

    std::string m_request_id;
    std::vector<log_record> m_request_records;
    std::vector<log_record> m_context_records;
    std::size_t m_unreadable_lines = 0;
};

/// Returns a record as one line of text. Thread safe.
[[nodiscard]] std::string format_record(const log_record& record);

} // namespace turmeric::ctl
