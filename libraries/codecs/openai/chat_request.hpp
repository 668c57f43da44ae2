#pragma once

#include "libraries/core/json.hpp"
#include "libraries/core/result.hpp"
#include "libraries/domain/configuration/declarations.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmeric::codecs
{

/// A chat completion request in the OpenAI wire format.
struct chat_request
{
    /// The name of the route; the wire format calls it the model.
    std::string model;
    bool is_streamed = false;
    std::optional<domain::tokens> max_tokens;
    /// The bytes of all message contents.
    std::size_t prompt_bytes = 0;
    /// A digest of the first bytes of the prompt, for prefix affinity.
    std::uint64_t prefix_digest = 0;
    json body;
};

/// Parses and validates a request body. Errors: `malformed_body`,
/// `invalid_field` with the field's name. Thread safe.
result<chat_request> parse_chat_request(std::string_view body);

/// Returns an upper bound of the number of prompt tokens. The engine's count is
/// not above it if a token has at least `bytes_per_token` bytes.
/// Precondition: `bytes_per_token` is positive. Thread safe.
[[nodiscard]] domain::tokens max_prompt_tokens(const chat_request& request,
                                               std::size_t bytes_per_token);

/// Makes the body of the request to an engine: always streamed, with usage, the
/// version as the model, an explicit `max_tokens` and the account's priority.
/// Thread safe.
[[nodiscard]] std::string make_engine_body(const chat_request& request,
                                           const std::string& version,
                                           domain::tokens max_tokens,
                                           std::int32_t priority);

} // namespace turmeric::codecs
