#pragma once

#include "libraries/core/error.hpp"

#include <httplib.h>

namespace turmeric::standins
{

/// An error response of etcd's JSON gateway.
struct gateway_error
{
    int http_status;
    int grpc_code;
    const char* message;
};

inline constexpr gateway_error no_leader_error{503, 14,
                                               "etcdserver: no leader"};
inline constexpr gateway_error too_many_requests_error{
    429, 8, "etcdserver: too many requests"};
inline constexpr gateway_error request_too_large_error{
    400, 3, "etcdserver: request is too large"};
inline constexpr gateway_error lease_not_found_error{
    404, 5, "etcdserver: requested lease not found"};
inline constexpr gateway_error not_json_error{400, 3,
                                              "the body is not a JSON object"};

/// Writes `failure` as the response. Thread safe on separate replies.
void reply_gateway_error(httplib::Response& reply,
                         const gateway_error& failure);

/// Responds that a field of the request is invalid; the message names the
/// field. Thread safe on separate replies.
void reply_field_error(httplib::Response& reply, const error& failure);

} // namespace turmeric::standins
