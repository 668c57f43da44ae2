#pragma once

#include "libraries/adapters/httplib/http_types.hpp"
#include "libraries/core/result.hpp"
#include "libraries/drivers/requests/request_context.hpp"
#include "libraries/ports/clock.hpp"
#include "services/router/configuration_index.hpp"

#include <cstddef>

namespace turmeric::router
{

/// Validates a chat completion request and makes its request context. Errors:
/// those from 1000 on in docs/result-codes.md, `unknown_budget`. Thread safe.
result<drivers::request_context>
make_chat_request_context(const adapters::http_request& http,
                          const configuration_index& index,
                          std::size_t bytes_per_token, ports::steady_time now);

/// Validates a request to a plain service, `/services/{route}/...`, and makes
/// its request context. Errors: as `make_chat_request_context`. Thread safe.
result<drivers::request_context>
make_service_request_context(const adapters::http_request& http,
                             const configuration_index& index,
                             ports::steady_time now);

} // namespace turmeric::router
