#pragma once

#include "libraries/core/error.hpp"
#include "libraries/core/json.hpp"

#include <httplib.h>

#include <string>

namespace turmeric::standins
{

/// Answers with a JSON document. Thread safe on separate replies.
inline void reply_json(httplib::Response& reply, const json& body,
                       int http_status = 200)
{
    reply.status = http_status;
    reply.set_content(body.dump(), "application/json");
}

/// Answers a change of switches that is not valid. Thread safe on separate
/// replies.
inline void reply_error(httplib::Response& reply, const error& failure)
{
    const json body = {{"code", static_cast<int>(failure.code)},
                       {"title", std::string(name_of(failure.code))},
                       {"field", failure.field},
                       {"detail", failure.detail}};
    reply_json(reply, body, http_status_of(failure.code));
}

} // namespace turmeric::standins
