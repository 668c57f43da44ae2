#pragma once

#include "libraries/codecs/openai/chat_request.hpp"
#include "libraries/domain/configuration/declarations.hpp"
#include "libraries/ports/clock.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace turmeric::drivers
{

/// A validated request that is ready to run. It owns all data that the run
/// needs, because the run can outlive the caller's connection.
struct request_context
{
    domain::account_declaration account;
    domain::route_declaration route;
    std::string budget;
    std::string request_id;
    std::uint64_t body_digest = 0;
    /// The maximum number of tokens that the request can be billed for.
    domain::tokens upper_bound = 0;
    /// Billed when the upstream does not report its own count.
    domain::tokens prompt_tokens = 0;
    domain::tokens max_tokens = 0;
    bool is_idempotent = true;
    std::optional<ports::steady_time> deadline;
    ports::steady_time arrived_at;
    /// The W3C trace context, forwarded unchanged.
    std::string traceparent;
    /// For an engine: the caller's chat request.
    std::optional<codecs::chat_request> chat;
    /// The four fields below are for a plain service: the call as it is
    /// forwarded.
    std::string method;
    std::string path;
    std::string content_type;
    std::string body;
};

} // namespace turmeric::drivers
