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
    /// The route, which callers name as their model.
    std::string model;
    bool is_streamed = false;
    std::optional<domain::tokens> max_tokens;
    /// Bytes of all message contents.
    std::size_t prompt_bytes = 0;
    /// Digest of the first part of the prompt, for prefix affinity.
    std::uint64_t prefix_digest = 0;
    json body;
};

/// Parses and checks a request body. Errors: `malformed_body`,
/// `invalid_field` with the field's name. Thread safe.
result<chat_request> parse_chat_request(std::string_view body);

/// Returns the most tokens that the prompt can have; never less than what an
/// engine counts as long as a token has `bytes_per_token` bytes or more.
/// Precondition: `bytes_per_token` is positive. Thread safe.
[[nodiscard]] domain::tokens max_prompt_tokens(const chat_request& request,
                                               std::size_t bytes_per_token);

/// Makes the body for an engine: always streamed, with usage, the version as
/// model, an explicit bound and the account's priority. Thread safe.
[[nodiscard]] std::string make_engine_body(const chat_request& request,
                                           const std::string& version,
                                           domain::tokens max_tokens,
                                           std::int32_t priority);

} // namespace turmeric::codecs
