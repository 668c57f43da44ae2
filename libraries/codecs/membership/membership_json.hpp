#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/membership/member.hpp"

#include <string>
#include <string_view>

namespace turmeric::codecs
{

/// Writes the value of a member key. Thread safe.
[[nodiscard]] std::string write_member(const domain::member& value,
                                       domain::member_state state);

/// Reads the value of a member key; `corrupt_value` naming the field. Thread
/// safe.
result<domain::member> read_member(std::string_view text);

/// Writes the value of the epoch key. Thread safe.
[[nodiscard]] std::string write_epochs(const domain::epoch_record& value);

/// Reads the value of the epoch key; `corrupt_value` naming the field.
/// Thread safe.
result<domain::epoch_record> read_epochs(std::string_view text);

/// Writes a heartbeat. Thread safe.
[[nodiscard]] std::string write_heartbeat(const domain::heartbeat& value);

/// Reads a heartbeat; `peer_protocol` naming the field. Thread safe.
result<domain::heartbeat> read_heartbeat(std::string_view text);

} // namespace turmeric::codecs
