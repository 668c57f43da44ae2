#include "utilities/turmericctl/operator_client.hpp"

#include "libraries/ports/http_syntax.hpp"

#include <httplib.h>

#include <algorithm>

namespace turmeric::ctl
{

namespace
{

std::string url_of(const std::string& controller)
{
    const bool has_scheme = controller.find("://") != std::string::npos;
    return has_scheme ? controller : "http://" + controller;
}

/// Tells whether the call failed before any byte of the request was sent.
bool is_failure_before_sending(httplib::Error failure)
{
    return failure == httplib::Error::Connection ||
           failure == httplib::Error::BindIPAddress ||
           failure == httplib::Error::SSLConnection ||
           failure == httplib::Error::SSLLoadingCerts ||
           failure == httplib::Error::SSLServerVerification;
}

/// Returns whether the head of a reply is valid, as far as the library shows
/// it.
bool has_valid_head(const httplib::Response& reply)
{
    return ports::is_valid_status(reply.status) &&
           std::all_of(reply.headers.begin(), reply.headers.end(),
                       [](const auto& field)
                       { return ports::is_field_name(field.first); });
}

} // namespace

exchange_function make_http_exchange(const client_settings& settings)
{
    return [settings](const std::string& controller, const std::string& path,
                      const std::string& body)
    {
        httplib::Client client(url_of(controller));
        if (!settings.certificates.empty())
        {
            client.set_ca_cert_path(settings.certificates);
        }
        client.set_connection_timeout(std::chrono::seconds(2));
        client.set_read_timeout(settings.timeout);
        client.set_write_timeout(settings.timeout);
        client.set_bearer_token_auth(settings.key);
        const httplib::Result response =
            client.Post(path, body, "application/json");
        if (!response)
        {
            const bool has_not_run =
                is_failure_before_sending(response.error());
            return exchange{has_not_run ? exchange_kind::unreachable
                                        : exchange_kind::reply_lost,
                            0,
                            {}};
        }
        if (!has_valid_head(*response))
        {
            return exchange{exchange_kind::reply_lost, 0, {}};
        }
        return exchange{exchange_kind::replied, response->status,
                        response->body};
    };
}

} // namespace turmeric::ctl
