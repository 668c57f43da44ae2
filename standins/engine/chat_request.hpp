#pragma once

#include "libraries/core/result.hpp"

#include <cstdint>
#include <string>

namespace turmeric::standins
{

/// A chat completion request with the fields that the engine uses.
struct chat_request
{
    /// The requested version: `model` in the body.
    std::string version;
    /// The roles and contents of the messages, as `append_message` joins them.
    std::string prompt;
    std::uint64_t prompt_digest = 0;
    std::int64_t prompt_tokens = 0;
    /// Number of tokens in the complete response.
    std::int64_t response_tokens = 0;
    /// Whether the limit on tokens ends the response, rather than its own
    /// length.
    bool is_limited_by_max_tokens = true;
    bool is_streamed = false;
    /// Requests with a smaller number are served first.
    std::int64_t priority = 0;
};

/// Parses the body of a chat completion request. An error names the invalid
/// field. Thread safe.
result<chat_request> parse_chat_request(const std::string& body);

} // namespace turmeric::standins
