#pragma once

#include "libraries/adapters/etcd/etcd_gateway_client.hpp"
#include "libraries/core/error.hpp"

#include <string>

namespace turmeric::adapters
{

/// Maps a response of the gateway whose status is not 200 to an error. A write
/// that may have taken effect despite the response gives
/// `platform_outcome_unknown`. Thread safe.
[[nodiscard]] error map_etcd_error_response(etcd_call_kind kind,
                                            int http_status,
                                            const std::string& body);

} // namespace turmeric::adapters
