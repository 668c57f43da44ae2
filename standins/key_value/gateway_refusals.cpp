#include "standins/key_value/gateway_refusals.hpp"

#include "standins/common/json_reply.hpp"

#include <string>

namespace turmeric::standins
{

void refuse(httplib::Response& reply, const gateway_refusal& why)
{
    reply_json(reply,
               {{"error", why.message},
                {"code", why.grpc_code},
                {"message", why.message}},
               why.http_status);
}

void refuse_field(httplib::Response& reply, const error& why)
{
    const std::string message = why.field + ": " + why.detail;
    const gateway_refusal invalid{400, 3, message.c_str()};
    refuse(reply, invalid);
}

} // namespace turmeric::standins
