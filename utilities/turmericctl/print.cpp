#include "utilities/turmericctl/print.hpp"

#include "libraries/adapters/protobuf/message_body.hpp"

#include <fmt/format.h>

namespace turmeric::ctl
{

namespace
{

void print_conflicts(const json& conflicts)
{
    for (const json& conflict : conflicts)
    {
        fmt::print(stderr, "  {}/{}\n    in force: {}\n    wanted:   {}\n",
                   conflict.value("kind", ""), conflict.value("name", ""),
                   conflict.value("in_force", json()).dump(),
                   conflict.value("wanted", json()).dump());
    }
}

void print_validation_errors(const json& errors)
{
    // A single error is already in the fields of the problem itself.
    if (errors.size() < 2)
    {
        return;
    }
    for (const json& error : errors)
    {
        fmt::print(stderr, "  {}: {}\n", error.value("field", ""),
                   error.value("detail", ""));
    }
}

} // namespace

void print_json(const google::protobuf::Message& message)
{
    fmt::print("{}\n", adapters::serialize_message_body(
                           message, adapters::body_format::json));
}

void print_changes(const v1::ApplyReply& reply)
{
    for (const v1::ObjectChange& change : reply.changes())
    {
        fmt::print("{:8} {}/{}\n", change.change(), change.kind(),
                   change.name());
    }
}

void print_budgets(const v1::ListBudgetsReply& reply)
{
    fmt::print("{:<24} {:<16} {:>16} {:>16} {:>16} {:>16}\n", "account",
               "budget", "topped up", "settled", "outstanding", "available");
    for (const v1::Budget& row : reply.budgets())
    {
        fmt::print("{:<24} {:<16} {:>16} {:>16} {:>16} {:>16}\n", row.account(),
                   row.budget(), row.topped_up(), row.settled(),
                   row.outstanding(), row.available());
    }
}

void print_moves(const v1::ListMovesReply& reply)
{
    constexpr double parts_per_percent = 10'000.0;
    fmt::print("{:<24} {:<36} {:<12} {:>8}  {}\n", "route", "declared", "phase",
               "share", "reason");
    for (const v1::MoveStatus& row : reply.moves())
    {
        const std::string declared =
            row.has_declared() ? row.declared().from_version() + " -> " +
                                     row.declared().to_version()
                               : "(no longer declared)";
        fmt::print("{:<24} {:<36} {:<12} {:>7.2f}%  {}\n", row.route(),
                   declared, row.phase().empty() ? "not begun" : row.phase(),
                   row.share() / parts_per_percent, row.reason());
    }
}

void print_status(const v1::GetStatusReply& reply)
{
    fmt::print("configuration version {}, platform {}\n",
               reply.configuration_version(),
               reply.is_platform_up() ? "up" : "out");
    for (const std::string& duty : reply.duties())
    {
        fmt::print("this controller leads {}\n", duty);
    }
    fmt::print("{:<32} {:<22} {:<12} {:<8} {:>8}\n", "router", "address", "vm",
               "state", "version");
    for (const v1::MemberStatus& row : reply.routers())
    {
        fmt::print("{:<32} {:<22} {:<12} {:<8} {:>8}\n", row.incarnation(),
                   row.address(), row.vm(), row.state(),
                   row.configuration_version());
    }
}

exit_status print_failure(const call_failure& failure)
{
    const json& problem = failure.problem;
    fmt::print(stderr, "turmericctl: {} {}{}{}\n", problem.value("code", 0),
               problem.value("title", "failed"),
               problem.contains("field")
                   ? ": " + problem["field"].get<std::string>()
                   : "",
               ": " + problem.value("detail", ""));
    print_conflicts(problem.value("conflicts", json::array()));
    print_validation_errors(problem.value("faults", json::array()));
    return failure.status;
}

exit_status print_error(const error& failure)
{
    fmt::print(stderr, "turmericctl: {} {}: {}: {}\n",
               static_cast<int>(failure.code), name_of(failure.code),
               failure.field, failure.detail);
    return exit_status::usage;
}

} // namespace turmeric::ctl
