#include "utilities/turmericctl/explain_command.hpp"

#include "libraries/core/error.hpp"
#include "utilities/turmericctl/explanation.hpp"
#include "utilities/turmericctl/print.hpp"

#include <cstdio>
#include <fmt/format.h>
#include <fstream>
#include <iostream>

namespace turmeric::ctl
{

namespace
{

bool read_log(explanation& joined, const std::string& path)
{
    if (path == "-")
    {
        joined.add(std::cin);
        return true;
    }
    std::ifstream file(path);
    if (!file)
    {
        return false;
    }
    joined.add(file);
    return true;
}

void print_timeline(const std::vector<log_record>& timeline, bool is_json)
{
    for (const log_record& record : timeline)
    {
        fmt::print("{}\n",
                   is_json ? record.fields.dump() : format_record(record));
    }
}

} // namespace

exit_status explain_request(const command_line& line)
{
    if (line.arguments.size() < 2)
    {
        return print_fault({result_code::bad_argument, explain_name,
                            "expected REQUEST-ID LOG..."});
    }
    explanation joined(line.arguments.front());
    for (std::size_t at = 1; at < line.arguments.size(); ++at)
    {
        if (!read_log(joined, line.arguments[at]))
        {
            return print_fault({result_code::bad_argument, line.arguments[at],
                                "the log cannot be read"});
        }
    }
    const std::vector<log_record> timeline = joined.timeline();
    print_timeline(timeline, line.is_json);
    if (joined.unreadable() > 0)
    {
        fmt::print(stderr, "turmericctl: {} lines are no log lines\n",
                   joined.unreadable());
    }
    return timeline.empty() ? exit_status::not_found : exit_status::done;
}

} // namespace turmeric::ctl
