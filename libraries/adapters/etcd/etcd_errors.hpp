#pragma once

#include "libraries/adapters/etcd/etcd_gateway_client.hpp"
#include "libraries/core/error.hpp"

#include <string>

namespace turmeric::adapters
{

/// Maps an answer of the gateway that is not 200. An answer that does not
/// rule out an effect makes a write `platform_outcome_unknown`. Thread safe.
[[nodiscard]] error map_etcd_error_response(etcd_call_kind kind,
                                            int http_status,
                                            const std::string& body);

} // namespace turmeric::adapters
