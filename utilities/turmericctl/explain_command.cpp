#include "utilities/turmericctl/explain_command.hpp"

#include "libraries/core/error.hpp"
#include "utilities/turmericctl/print.hpp"
#include "utilities/turmericctl/timeline_builder.hpp"

#include <cstdio>
#include <fmt/format.h>
#include <fstream>
#include <iostream>

namespace turmeric::ctl
{

namespace
{

bool read_log(timeline_builder& builder, const std::string& path)
{
    if (path == "-")
    {
        builder.add(std::cin);
        return true;
    }
    std::ifstream file(path);
    if (!file)
    {
        return false;
    }
    builder.add(file);
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
        return print_error({result_code::bad_argument, explain_command_name,
                            "expected REQUEST-ID LOG..."});
    }
    timeline_builder builder(line.arguments.front());
    for (std::size_t index = 1; index < line.arguments.size(); ++index)
    {
        if (!read_log(builder, line.arguments[index]))
        {
            return print_error({result_code::bad_argument,
                                line.arguments[index],
                                "the log cannot be read"});
        }
    }
    const std::vector<log_record> timeline = builder.timeline();
    print_timeline(timeline, line.is_json);
    if (builder.unreadable_lines() > 0)
    {
        fmt::print(stderr,
                   "turmericctl: skipped {} lines that are not log records\n",
                   builder.unreadable_lines());
    }
    return timeline.empty() ? exit_status::not_found : exit_status::done;
}

} // namespace turmeric::ctl
