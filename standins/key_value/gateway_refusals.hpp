#pragma once

#include "libraries/core/error.hpp"

#include <httplib.h>

namespace turmeric::standins
{

/// A refusal in the form of the gateway.
struct gateway_refusal
{
    int http_status;
    int grpc_code;
    const char* message;
};

inline constexpr gateway_refusal no_leader{503, 14, "etcdserver: no leader"};
inline constexpr gateway_refusal too_many{429, 8,
                                          "etcdserver: too many requests"};
inline constexpr gateway_refusal too_large{400, 3,
                                           "etcdserver: request is too large"};
inline constexpr gateway_refusal no_lease{
    404, 5, "etcdserver: requested lease not found"};
inline constexpr gateway_refusal not_json{400, 3,
                                          "the body is not a JSON object"};

/// Answers with `why`. Thread safe on separate replies.
void refuse(httplib::Response& reply, const gateway_refusal& why);

/// Answers that a field of the request is at fault. Thread safe on separate
/// replies.
void refuse_field(httplib::Response& reply, const error& why);

} // namespace turmeric::standins
