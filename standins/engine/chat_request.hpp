#pragma once

#include "libraries/core/result.hpp"

#include <cstdint>
#include <string>

namespace turmeric::standins
{

/// A chat completion as the engine understands it.
struct chat_request
{
    /// The version that shall answer; the body's `model`.
    std::string version;
    /// The messages in the form that identifies them.
    std::string prompt;
    std::uint64_t prompt_digest = 0;
    std::int64_t prompt_tokens = 0;
    /// The tokens of the whole answer.
    std::int64_t response_tokens = 0;
    /// The answer ends at `max_tokens`, not by itself.
    bool is_limited_by_max_tokens = true;
    bool is_streamed = false;
    /// A smaller number is served sooner.
    std::int64_t priority = 0;
};

/// Reads the body of a chat completion. A fault names the field. Thread
/// safe.
result<chat_request> parse_chat_request(const std::string& body);

} // namespace turmeric::standins
