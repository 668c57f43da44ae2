#include "utilities/turmericctl/operator_client.hpp"

#include "libraries/adapters/protobuf/message_body.hpp"
#include "libraries/core/outcome.hpp"

#include <utility>

namespace turmeric::ctl
{

namespace
{

constexpr int status_ok = 200;
/// Rounds over all controllers while an outcome is unknown.
constexpr int max_rounds = 3;

json parse_problem(const exchange& got)
{
    constexpr bool allows_exceptions = false;
    json problem = json::parse(got.body, nullptr, allows_exceptions);
    if (!problem.is_object())
    {
        problem = {{"detail", "status " + std::to_string(got.status)}};
    }
    return problem;
}

bool is_unknown(const json& problem)
{
    return problem.value("outcome", "") == name_of(outcome::outcome_unknown);
}

call_failure failure_of(json problem)
{
    const int code = problem.value("code", 0);
    const bool is_conflict =
        code == static_cast<int>(result_code::configuration_conflict);
    exit_status status =
        is_conflict ? exit_status::conflict : exit_status::refused;
    if (is_unknown(problem))
    {
        status = exit_status::outcome_unknown;
    }
    return {status, std::move(problem)};
}

call_failure lost_reply(const std::string& controller)
{
    return {exit_status::outcome_unknown,
            {{"detail", "no reply from " + controller +
                            "; the call may have taken effect"}}};
}

call_failure nobody_answers()
{
    return {exit_status::unreachable,
            {{"detail", "no controller could be reached"}}};
}

} // namespace

operator_client::operator_client(std::vector<std::string> controllers,
                                 exchange_function send)
    : m_controllers(std::move(controllers))
    , m_send(std::move(send))
{
}

std::optional<call_failure>
operator_client::call(const std::string& method,
                      const google::protobuf::Message& request,
                      repetition repeats, google::protobuf::Message& reply)
{
    constexpr adapters::body_format format = adapters::body_format::json;
    const std::string path = "/turmericfront.v1.Operator/" + method;
    const std::string body = adapters::serialize_message_body(request, format);
    call_failure failure = nobody_answers();
    for (int round = 0; round < max_rounds; ++round)
    {
        for (const std::string& controller : m_controllers)
        {
            const exchange got = m_send(controller, path, body);
            if (got.kind == exchange_kind::unreachable)
            {
                continue;
            }
            if (got.kind == exchange_kind::lost)
            {
                failure = lost_reply(controller);
            }
            else if (got.status == status_ok)
            {
                const status read =
                    adapters::parse_message_body(got.body, format, reply);
                return read ? std::nullopt
                            : std::optional(lost_reply(controller));
            }
            else
            {
                failure = failure_of(parse_problem(got));
            }
            const bool may_repeat =
                failure.status == exit_status::outcome_unknown &&
                repeats == repetition::safe;
            if (!may_repeat)
            {
                return failure;
            }
        }
        if (failure.status == exit_status::unreachable)
        {
            break;
        }
    }
    return failure;
}

} // namespace turmeric::ctl
