#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/move/move_state.hpp"
#include "libraries/domain/move/version_split.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace turmeric::codecs
{

/// What one router knows of the move of a service.
struct rollout_report
{
    std::string service;
    /// How long ago the order was given.
    std::chrono::milliseconds elapsed{0};
    /// Why the new version was found bad; empty if it was not.
    std::string cut_reason;
    domain::move_state state;
    /// What the router itself has seen.
    domain::move_report seen;
};

/// A message between two routers about the moves that are under way. Routers of
/// builds without it ignore it.
struct rollout_message
{
    std::string sender;
    /// Grows with each message of the sender.
    std::int64_t sequence = 0;
    std::vector<rollout_report> reports;
};

/// Encodes a message as CBOR. Thread safe.
[[nodiscard]] std::string write_rollout_message(const rollout_message& message);

/// Decodes a message. Errors: `peer_protocol`, also if the bytes are another
/// message or of another format version. Thread safe.
[[nodiscard]] result<rollout_message>
read_rollout_message(std::string_view bytes);

} // namespace turmeric::codecs
