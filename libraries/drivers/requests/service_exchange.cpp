#include "libraries/drivers/requests/service_exchange.hpp"

#include "libraries/drivers/requests/upstream_status.hpp"

namespace turmeric::drivers
{

namespace
{

constexpr int first_server_error = 500;

} // namespace

service_exchange::service_exchange(const request_context& request)
    : m_request(request)
{
}

ports::upstream_request
service_exchange::start_attempt(const std::string& /*version*/)
{
    m_body.clear();
    ports::upstream_request request;
    request.method = m_request.method;
    request.path = m_request.path;
    request.content_type = m_request.content_type;
    request.body = m_request.body;
    request.idle_timeout = m_request.route.idle_timeout;
    request.needs_new_connection = !m_request.is_idempotent;
    request.headers.emplace_back("X-Request-Id", m_request.request_id);
    request.headers.emplace_back("Turmeric-Account", m_request.account.name);
    if (!m_request.traceparent.empty())
    {
        request.headers.emplace_back("traceparent", m_request.traceparent);
    }
    return request;
}

status service_exchange::accept_head(const ports::upstream_response_head& head)
{
    constexpr int unavailable = 503;
    // Any other status is the service's response to the caller.
    if (head.status == unavailable && m_request.is_idempotent)
    {
        return error_from_status(head.status);
    }
    m_head.status = head.status;
    m_head.content_type = head.content_type;
    return success();
}

result<std::vector<std::string>>
service_exchange::accept(std::string_view bytes)
{
    if (m_body.size() + bytes.size() > max_body_bytes)
    {
        return error{result_code::upstream_failed, "upstream",
                     "the service's response is too long",
                     outcome::outcome_unknown};
    }
    m_body.append(bytes);
    return std::vector<std::string>();
}

result<std::vector<std::string>> service_exchange::finish_attempt()
{
    return std::vector<std::string>{m_body};
}

bool service_exchange::can_resume() const
{
    return false;
}

domain::tokens service_exchange::delivered() const
{
    return 0;
}

relayed_response_head service_exchange::head() const
{
    return m_head;
}

response_end service_exchange::bill() const
{
    response_end end;
    end.billed = m_head.status < first_server_error
                     ? m_request.route.tokens_per_call
                     : 0;
    return end;
}

} // namespace turmeric::drivers
