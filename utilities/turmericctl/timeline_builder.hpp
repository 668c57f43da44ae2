#pragma once

#include "libraries/core/json.hpp"

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace turmeric::ctl
{

/// One record of a process's log.
struct log_record
{
    /// As written: UTC with milliseconds, so that the order of the texts is
    /// the order of the times.
    std::string time;
    std::string process;
    /// The number of the event, see docs/events.md.
    int event = 0;
    json fields;
};

/// Merges the logs of several processes into the timeline of one request: the
/// records of the request, and the state changes of the processes that served
/// it, shortly before or during the request (start, stop, settings,
/// configuration, store unavailable or recovered, upstreams ejected). Clocks
/// of VMs may differ, so records of different processes may be out of order by
/// the difference. Not thread safe.
class timeline_builder
{
public:
    explicit timeline_builder(std::string request_id);

    /// Reads a log of JSON lines. Text before the `{` of a line is skipped;
    /// lines that are not log records are counted and skipped.
    void add(std::istream& log);

    /// Returns how many non-empty lines were not log records.
    [[nodiscard]] std::size_t unreadable_lines() const;

    /// Returns the timeline, oldest first; empty if the logs have no record of
    /// the request.
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
