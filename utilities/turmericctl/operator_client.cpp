#include "utilities/turmericctl/operator_client.hpp"

#include "libraries/adapters/protobuf/message_body.hpp"
#include "libraries/core/outcome.hpp"

#include <utility>

namespace turmeric::ctl
{

namespace
{

constexpr int status_ok = 200;
/// How often all controllers are tried while the outcome is unknown.
constexpr int max_rounds = 3;

json parse_problem(const exchange& received)
{
    constexpr bool allows_exceptions = false;
    json problem = json::parse(received.body, nullptr, allows_exceptions);
    if (!problem.is_object())
    {
        problem = {{"detail", "status " + std::to_string(received.status)}};
    }
    return problem;
}

bool is_outcome_unknown(const json& problem)
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
    if (is_outcome_unknown(problem))
    {
        status = exit_status::outcome_unknown;
    }
    return {status, std::move(problem)};
}

call_failure lost_reply_failure(const std::string& controller)
{
    return {exit_status::outcome_unknown,
            {{"detail", "no reply from " + controller +
                            "; the call may have taken effect"}}};
}

call_failure no_controller_reachable()
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
                      retry_safety retries, google::protobuf::Message& reply)
{
    constexpr adapters::body_format format = adapters::body_format::json;
    const std::string path = "/turmericfront.v1.Operator/" + method;
    const std::string body = adapters::serialize_message_body(request, format);
    call_failure failure = no_controller_reachable();
    for (int round = 0; round < max_rounds; ++round)
    {
        for (const std::string& controller : m_controllers)
        {
            const exchange received = m_send(controller, path, body);
            if (received.kind == exchange_kind::unreachable)
            {
                continue;
            }
            if (received.kind == exchange_kind::reply_lost)
            {
                failure = lost_reply_failure(controller);
            }
            else if (received.status == status_ok)
            {
                const status parsed =
                    adapters::parse_message_body(received.body, format, reply);
                return parsed ? std::nullopt
                              : std::optional(lost_reply_failure(controller));
            }
            else
            {
                failure = failure_of(parse_problem(received));
            }
            const bool may_retry =
                failure.status == exit_status::outcome_unknown &&
                retries == retry_safety::safe;
            if (!may_retry)
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
