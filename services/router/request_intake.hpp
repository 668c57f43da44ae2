#pragma once

#include "libraries/adapters/httplib/http_types.hpp"
#include "libraries/core/result.hpp"
#include "libraries/drivers/requests/request_context.hpp"
#include "libraries/ports/clock.hpp"
#include "services/router/caller_directory.hpp"

#include <cstddef>

namespace turmeric::router
{

/// Checks a chat completion and makes a request that is ready to run. Errors:
/// all from 1000 on in docs/result-codes.md, `unknown_budget`. Thread safe.
result<drivers::request_context>
take_chat_request(const adapters::http_request& http,
                  const caller_directory& directory,
                  std::size_t bytes_per_token, ports::steady_time now);

/// Checks a call to a plain service, `/services/{route}/...`, and makes a
/// request that is ready to run. Errors as above. Thread safe.
result<drivers::request_context>
take_service_request(const adapters::http_request& http,
                     const caller_directory& directory, ports::steady_time now);

} // namespace turmeric::router
