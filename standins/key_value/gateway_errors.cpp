#include "standins/key_value/gateway_errors.hpp"

#include "standins/common/json_reply.hpp"

#include <string>

namespace turmeric::standins
{

void reply_gateway_error(httplib::Response& reply, const gateway_error& failure)
{
    reply_json(reply,
               {{"error", failure.message},
                {"code", failure.grpc_code},
                {"message", failure.message}},
               failure.http_status);
}

void reply_field_error(httplib::Response& reply, const error& failure)
{
    const std::string message = failure.field + ": " + failure.detail;
    const gateway_error invalid{400, 3, message.c_str()};
    reply_gateway_error(reply, invalid);
}

} // namespace turmeric::standins
