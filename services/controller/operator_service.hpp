#pragma once

#include "libraries/adapters/httplib/http_types.hpp"
#include "libraries/adapters/protobuf/message_body.hpp"
#include "libraries/core/logger.hpp"
#include "services/controller/budget_request_handler.hpp"
#include "services/controller/configuration_request_handler.hpp"
#include "services/controller/status_request_handler.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace turmeric::controller
{

/// The handlers that the service dispatches requests to.
struct operator_request_handlers
{
    configuration_request_handler& configuration;
    budget_request_handler& budgets;
    status_request_handler& status;
};

/// Serves `POST /turmericfront.v1.Operator/{Method}`: authorises, decodes and
/// dispatches the operators' requests. Thread safe.
class operator_service
{
public:
    /// `key_digests` are the SHA-256 digests of the operators' keys.
    /// Precondition: the handlers and `log` outlive this object.
    operator_service(const operator_request_handlers& calls,
                     std::vector<std::string> key_digests, logger& log);

    /// Handles a request and logs it. Errors are returned as problem documents.
    /// Precondition: `handles_path(request.path)`. Thread safe; blocks.
    [[nodiscard]] adapters::http_response
    handle_call(const adapters::http_request& request);

    /// Returns true if a path belongs to the service. Thread safe.
    [[nodiscard]] static bool handles_path(std::string_view path);

private:
    /// The body of a request whose method, key and content type are valid.
    struct accepted_call
    {
        std::string_view body;
        adapters::body_format format;
    };

    using method = adapters::http_response (operator_service::*)(
        const accepted_call& call);

    struct method_row
    {
        std::string_view name;
        method run;
    };

    template <class Request, class Group, class Reply>
    adapters::http_response
    invoke(const accepted_call& call, Group& group,
           operator_result<Reply> (Group::*run)(const Request&));

    adapters::http_response apply(const accepted_call& call);
    adapters::http_response diff(const accepted_call& call);
    adapters::http_response export_declarations(const accepted_call& call);
    adapters::http_response create_key(const accepted_call& call);
    adapters::http_response drain(const accepted_call& call);
    adapters::http_response top_up(const accepted_call& call);
    adapters::http_response get_budget(const accepted_call& call);
    adapters::http_response list_budgets(const accepted_call& call);
    adapters::http_response list_moves(const accepted_call& call);
    adapters::http_response get_status(const accepted_call& call);

    [[nodiscard]] adapters::http_response
    dispatch(const adapters::http_request& request);
    [[nodiscard]] bool is_authorized(const std::string& authorization) const;

    static const std::vector<method_row> method_table;

    operator_request_handlers m_handlers;
    std::vector<std::string> m_key_digests;
    logger& m_log;
};

} // namespace turmeric::controller
