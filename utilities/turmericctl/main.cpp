#include "utilities/turmericctl/command_line.hpp"
#include "utilities/turmericctl/commands.hpp"
#include "utilities/turmericctl/explain_command.hpp"

int main(int argc, char** argv)
{
    using turmeric::ctl::command_line;
    using turmeric::ctl::exit_status;
    std::variant<command_line, exit_status> read =
        turmeric::ctl::read_command_line(argc, argv);
    if (const exit_status* status = std::get_if<exit_status>(&read))
    {
        return static_cast<int>(*status);
    }
    const command_line& line = std::get<command_line>(read);
    if (line.command == turmeric::ctl::explain_command_name)
    {
        return static_cast<int>(turmeric::ctl::explain_request(line));
    }
    turmeric::ctl::operator_client client(
        line.client.controllers,
        turmeric::ctl::make_http_exchange(line.client));
    return static_cast<int>(turmeric::ctl::run_command(client, line));
}
