#include "utilities/turmericctl/commands.hpp"

#include "libraries/adapters/openssl/digests.hpp"
#include "libraries/adapters/protobuf/declaration_messages.hpp"
#include "utilities/turmericctl/declaration_folder.hpp"
#include "utilities/turmericctl/print.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <fmt/format.h>
#include <functional>

namespace turmeric::ctl
{

namespace
{

using command_function = exit_status (*)(operator_client&, const command_line&);

constexpr std::size_t id_bytes = 8;

error bad_argument(const std::string& field, const std::string& expectation)
{
    return error{result_code::bad_argument, field, expectation};
}

/// Calls a method and prints its reply, or why the call failed.
template <class Request, class Reply>
exit_status call_and_print(operator_client& client, const command_line& line,
                           const std::string& method, const Request& request,
                           retry_safety retries, void (*print)(const Reply&))
{
    Reply reply;
    const std::optional<call_failure> failure =
        client.call(method, request, retries, reply);
    if (failure)
    {
        return print_failure(*failure);
    }
    line.is_json ? print_json(reply) : print(reply);
    return exit_status::done;
}

result<v1::ApplyRequest> read_request(const command_line& line)
{
    if (line.folder.empty())
    {
        return bad_argument("-f", "expected a folder of declarations");
    }
    const result<folder_content> content = read_declaration_folder(line.folder);
    if (!content)
    {
        return content.failure();
    }
    v1::ApplyRequest request;
    for (const json& declaration : content.value().declarations)
    {
        const status converted = adapters::declaration_from_json(
            declaration, *request.add_declarations());
        if (!converted)
        {
            return converted.failure();
        }
    }
    request.set_base_version(
        line.base_version.value_or(content.value().base_version));
    request.set_is_complete(line.is_complete);
    request.set_operation(adapters::random_hex(id_bytes));
    return request;
}

exit_status diff(operator_client& client, const command_line& line)
{
    const result<v1::ApplyRequest> request = read_request(line);
    if (!request)
    {
        return print_error(request.failure());
    }
    v1::ApplyReply reply;
    const std::optional<call_failure> failure =
        client.call("Diff", request.value(), retry_safety::safe, reply);
    if (failure)
    {
        return print_failure(*failure);
    }
    line.is_json ? print_json(reply) : print_changes(reply);
    return reply.changes().empty() ? exit_status::done : exit_status::differs;
}

/// Records the version as the folder's base version, unless the folder lacks
/// changes of other operators: the next apply from it would undo them.
exit_status record_version(operator_client& client, const command_line& line,
                           v1::ApplyRequest request, std::int64_t version)
{
    request.set_base_version(version);
    v1::ApplyReply remaining;
    const std::optional<call_failure> failure =
        client.call("Diff", request, retry_safety::safe, remaining);
    if (failure || !remaining.changes().empty())
    {
        fmt::print(
            stderr,
            "turmericctl: the base version of {} was not updated; export "
            "the changes of other operators before the next apply\n",
            line.folder);
        return exit_status::done;
    }
    const status recorded = write_version_file(line.folder, version);
    return recorded ? exit_status::done : print_error(recorded.failure());
}

exit_status apply(operator_client& client, const command_line& line)
{
    result<v1::ApplyRequest> request = read_request(line);
    if (!request)
    {
        return print_error(request.failure());
    }
    v1::ApplyReply planned;
    std::optional<call_failure> failure =
        client.call("Diff", request.value(), retry_safety::safe, planned);
    if (failure)
    {
        return print_failure(*failure);
    }
    print_changes(planned);
    if (request.value().base_version() == 0)
    {
        // The apply makes exactly the printed changes, or fails with a
        // conflict.
        request.value().set_base_version(planned.version());
    }
    v1::ApplyReply reply;
    failure = client.call("Apply", request.value(), retry_safety::safe, reply);
    if (failure)
    {
        return print_failure(*failure);
    }
    fmt::print("version {} is in force{}\n", reply.version(),
               reply.is_written() ? "" : "; nothing changed");
    return record_version(client, line, request.value(), reply.version());
}

exit_status export_declarations(operator_client& client,
                                const command_line& line)
{
    v1::ExportRequest request;
    request.set_version(line.base_version.value_or(0));
    v1::ExportReply reply;
    const std::optional<call_failure> failure =
        client.call("Export", request, retry_safety::safe, reply);
    if (failure)
    {
        return print_failure(*failure);
    }
    folder_content content;
    content.base_version = reply.version();
    for (const v1::Declaration& declaration : reply.declarations())
    {
        content.declarations.push_back(
            adapters::declaration_to_json(declaration));
    }
    if (line.output_folder.empty())
    {
        constexpr int indent = 2;
        fmt::print("{}\n", json(content.declarations).dump(indent));
        return exit_status::done;
    }
    const status written =
        write_declaration_folder(line.output_folder, content);
    return written ? exit_status::done : print_error(written.failure());
}

void print_top_up(const v1::TopUpReply& reply)
{
    fmt::print("{}; available {} of {}\n",
               reply.is_new() ? "topped up" : "already topped up",
               reply.balance().available(), reply.balance().topped_up());
}

exit_status top_up(operator_client& client, const command_line& line)
{
    constexpr std::size_t argument_count = 3;
    if (line.arguments.size() != argument_count)
    {
        return print_error(
            bad_argument("top-up", "expected ACCOUNT BUDGET TOKENS"));
    }
    const std::string& digits = line.arguments[2];
    std::int64_t tokens = 0;
    const char* end = digits.data() + digits.size();
    const std::from_chars_result parsed =
        std::from_chars(digits.data(), end, tokens);
    if (parsed.ec != std::errc{} || parsed.ptr != end || tokens <= 0)
    {
        return print_error(
            bad_argument("TOKENS", "expected a positive integer"));
    }
    v1::TopUpRequest request;
    request.set_account(line.arguments[0]);
    request.set_budget(line.arguments[1]);
    request.set_tokens(tokens);
    request.set_id(line.id.empty() ? "top-up-" + adapters::random_hex(id_bytes)
                                   : line.id);
    // Printed before the call, so that the operator can repeat a failed call
    // with the same id: a top-up takes effect only once for each id.
    fmt::print(stderr, "top-up id {}\n", request.id());
    return call_and_print(client, line, "TopUp", request, retry_safety::safe,
                          &print_top_up);
}

exit_status budgets(operator_client& client, const command_line& line)
{
    v1::ListBudgetsRequest request;
    if (!line.arguments.empty())
    {
        request.set_account(line.arguments.front());
    }
    return call_and_print(client, line, "ListBudgets", request,
                          retry_safety::safe, &print_budgets);
}

void print_key(const v1::CreateKeyReply& reply)
{
    fmt::print("{}\n", reply.key());
}

exit_status key(operator_client& client, const command_line& line)
{
    if (line.arguments.size() != 2 || line.arguments[0] != "create")
    {
        return print_error(bad_argument("key", "expected create ACCOUNT"));
    }
    v1::CreateKeyRequest request;
    request.set_account(line.arguments[1]);
    return call_and_print(client, line, "CreateKey", request,
                          retry_safety::unsafe, &print_key);
}

exit_status moves(operator_client& client, const command_line& line)
{
    return call_and_print(client, line, "ListMoves", v1::ListMovesRequest(),
                          retry_safety::safe, &print_moves);
}

exit_status show_status(operator_client& client, const command_line& line)
{
    return call_and_print(client, line, "GetStatus", v1::GetStatusRequest(),
                          retry_safety::safe, &print_status);
}

exit_status drain(operator_client& client, const command_line& line)
{
    if (line.upstream.empty() == line.vm.empty())
    {
        return print_error(
            bad_argument("drain", "expected --upstream or --vm"));
    }
    v1::DrainRequest request;
    line.vm.empty() ? request.set_upstream(line.upstream)
                    : request.set_vm(line.vm);
    request.set_is_undone(line.is_undone);
    return call_and_print(client, line, "Drain", request, retry_safety::safe,
                          &print_changes);
}

struct command_row
{
    std::string_view name;
    command_function run;
};

constexpr std::array command_table = {
    command_row{"apply", &apply},
    command_row{"diff", &diff},
    command_row{"export", &export_declarations},
    command_row{"top-up", &top_up},
    command_row{"budgets", &budgets},
    command_row{"key", &key},
    command_row{"moves", &moves},
    command_row{"status", &show_status},
    command_row{"drain", &drain},
};

} // namespace

exit_status run_command(operator_client& client, const command_line& line)
{
    auto row = std::find_if(command_table.begin(), command_table.end(),
                            [&line](const command_row& candidate)
                            { return candidate.name == line.command; });
    if (row == command_table.end())
    {
        return print_error(
            bad_argument(line.command, "expected a command; see --help"));
    }
    return row->run(client, line);
}

} // namespace turmeric::ctl
