#pragma once

#include "libraries/codecs/common/json_reader.hpp"
#include "libraries/core/error.hpp"

#include <httplib.h>

#include <functional>
#include <string>

namespace turmeric::standins
{

/// Sets `body` as the JSON content of `reply`. Thread safe on separate replies.
inline void reply_json(httplib::Response& reply, const json& body,
                       int http_status = 200)
{
    reply.status = http_status;
    reply.set_content(body.dump(), "application/json");
}

/// Sets `reply` to the JSON form of `failure`, with its HTTP status. Thread
/// safe on separate replies.
inline void reply_error(httplib::Response& reply, const error& failure)
{
    const json body = {{"code", static_cast<int>(failure.code)},
                       {"title", std::string(name_of(failure.code))},
                       {"field", failure.field},
                       {"detail", failure.detail}};
    reply_json(reply, body, http_status_of(failure.code));
}

/// Registers handlers for `GET /faults`, which returns the result of `show`,
/// and for `POST /faults`, which passes the parsed body to `change` and
/// returns the error or the result of `show`. Precondition: both functions are
/// thread safe and can be called as long as the server exists.
inline void
register_fault_handlers(httplib::Server& server,
                        const std::function<json()>& show,
                        const std::function<status(const json&)>& change)
{
    server.Get("/faults",
               [show](const httplib::Request&, httplib::Response& reply)
               { reply_json(reply, show()); });
    server.Post("/faults",
                [show, change](const httplib::Request& request,
                               httplib::Response& reply)
                {
                    const result<json> body = codecs::parse_json(
                        request.body, result_code::malformed_body, "body");
                    const status changed =
                        body ? change(body.value()) : status(body.failure());
                    if (!changed)
                    {
                        reply_error(reply, changed.failure());
                        return;
                    }
                    reply_json(reply, show());
                });
}

} // namespace turmeric::standins
