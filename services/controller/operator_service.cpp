#include "services/controller/operator_service.hpp"

#include "libraries/adapters/openssl/digests.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::controller
{

namespace
{

constexpr std::string_view path_prefix = "/turmericfront.v1.Operator/";
constexpr std::string_view bearer_scheme = "Bearer ";

adapters::http_response make_problem_response(const operator_error& refusal)
{
    adapters::http_response response = adapters::make_problem(refusal.failure);
    if (!refusal.problem_members.empty())
    {
        json document = json::parse(response.body);
        document.update(refusal.problem_members);
        response.body = document.dump();
    }
    return response;
}

adapters::http_response refuse(result_code code, const std::string& field,
                               const std::string& detail)
{
    return adapters::make_problem(error{code, field, detail});
}

} // namespace

const std::vector<operator_service::method_row> operator_service::method_table =
    {
        {"Apply", &operator_service::apply},
        {"Diff", &operator_service::diff},
        {"Export", &operator_service::export_declarations},
        {"CreateKey", &operator_service::create_key},
        {"Drain", &operator_service::drain},
        {"TopUp", &operator_service::top_up},
        {"GetBudget", &operator_service::get_budget},
        {"ListBudgets", &operator_service::list_budgets},
        {"ListMoves", &operator_service::list_moves},
        {"GetStatus", &operator_service::get_status},
};

operator_service::operator_service(const operator_request_handlers& calls,
                                   std::vector<std::string> key_digests,
                                   logger& log)
    : m_handlers(calls)
    , m_key_digests(std::move(key_digests))
    , m_log(log)
{
}

bool operator_service::handles_path(std::string_view path)
{
    return path.starts_with(path_prefix);
}

adapters::http_response
operator_service::handle_call(const adapters::http_request& request)
{
    adapters::http_response response = dispatch(request);
    m_log.write(log_level::info, log_event::operator_call,
                {{"path", request.path},
                 {"status", std::int64_t{response.status}},
                 {"remote", request.remote_address}});
    return response;
}

adapters::http_response
operator_service::dispatch(const adapters::http_request& request)
{
    if (!is_authorized(request.header("Authorization")))
    {
        return refuse(result_code::operator_unauthorized, "Authorization",
                      "expected the bearer key of an operator");
    }
    const std::string_view name =
        std::string_view(request.path).substr(path_prefix.size());
    auto row = std::find_if(method_table.begin(), method_table.end(),
                            [name](const method_row& candidate)
                            { return candidate.name == name; });
    if (row == method_table.end())
    {
        return refuse(result_code::unknown_method, "path",
                      "no method has that name");
    }
    if (request.method != "POST")
    {
        return refuse(result_code::unsupported_method, "method",
                      "expected POST");
    }
    const std::optional<adapters::body_format> format =
        adapters::body_format_of(request.header("Content-Type"));
    if (!format)
    {
        return refuse(result_code::malformed_body, "Content-Type",
                      "expected application/json or application/proto");
    }
    return (this->*row->run)({request.body, *format});
}

bool operator_service::is_authorized(const std::string& authorization) const
{
    if (!authorization.starts_with(bearer_scheme))
    {
        return false;
    }
    const std::string digest =
        adapters::sha256_hex(authorization.substr(bearer_scheme.size()));
    bool is_operator_key = false;
    for (const std::string& key_digest : m_key_digests)
    {
        // All digests are compared, so that the duration does not reveal which
        // one matches.
        const bool is_equal =
            adapters::is_equal_in_constant_time(key_digest, digest);
        is_operator_key = is_operator_key || is_equal;
    }
    return is_operator_key;
}

template <class Request, class Group, class Reply>
adapters::http_response
operator_service::invoke(const accepted_call& call, Group& group,
                         operator_result<Reply> (Group::*run)(const Request&))
{
    Request request;
    const status read =
        adapters::parse_message_body(call.body, call.format, request);
    if (!read)
    {
        return adapters::make_problem(read.failure());
    }
    const operator_result<Reply> result = (group.*run)(request);
    const auto* refusal = std::get_if<operator_error>(&result);
    if (refusal != nullptr)
    {
        return make_problem_response(*refusal);
    }
    adapters::http_response response;
    response.content_type = std::string(adapters::content_type_of(call.format));
    response.body =
        adapters::serialize_message_body(std::get<Reply>(result), call.format);
    return response;
}

adapters::http_response operator_service::apply(const accepted_call& call)
{
    return invoke(call, m_handlers.configuration,
                  &configuration_request_handler::apply);
}

adapters::http_response operator_service::diff(const accepted_call& call)
{
    return invoke(call, m_handlers.configuration,
                  &configuration_request_handler::diff);
}

adapters::http_response
operator_service::export_declarations(const accepted_call& call)
{
    return invoke(call, m_handlers.configuration,
                  &configuration_request_handler::export_declarations);
}

adapters::http_response operator_service::create_key(const accepted_call& call)
{
    return invoke(call, m_handlers.configuration,
                  &configuration_request_handler::create_key);
}

adapters::http_response operator_service::drain(const accepted_call& call)
{
    return invoke(call, m_handlers.configuration,
                  &configuration_request_handler::drain);
}

adapters::http_response operator_service::top_up(const accepted_call& call)
{
    return invoke(call, m_handlers.budgets, &budget_request_handler::top_up);
}

adapters::http_response operator_service::get_budget(const accepted_call& call)
{
    return invoke(call, m_handlers.budgets,
                  &budget_request_handler::get_budget);
}

adapters::http_response
operator_service::list_budgets(const accepted_call& call)
{
    return invoke(call, m_handlers.budgets,
                  &budget_request_handler::list_budgets);
}

adapters::http_response operator_service::list_moves(const accepted_call& call)
{
    return invoke(call, m_handlers.status, &status_request_handler::list_moves);
}

adapters::http_response operator_service::get_status(const accepted_call& call)
{
    return invoke(call, m_handlers.status, &status_request_handler::get_status);
}

} // namespace turmeric::controller
