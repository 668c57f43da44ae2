#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/membership/member.hpp"

#include <string>
#include <string_view>

namespace turmeric::codecs
{

/// Encodes the value of a member key. Thread safe.
[[nodiscard]] std::string write_member(const domain::member& value,
                                       domain::member_state state);

/// Decodes the value of a member key. Errors: `corrupt_value` with the field's
/// name. Thread safe.
result<domain::member> read_member(std::string_view text);

/// Encodes the value of the epoch key. Thread safe.
[[nodiscard]] std::string write_epochs(const domain::epoch_record& value);

/// Decodes the value of the epoch key. Errors: `corrupt_value` with the field's
/// name. Thread safe.
result<domain::epoch_record> read_epochs(std::string_view text);

/// Encodes a heartbeat. Thread safe.
[[nodiscard]] std::string write_heartbeat(const domain::heartbeat& value);

/// Decodes a heartbeat. Errors: `peer_protocol` with the field's name. Thread
/// safe.
result<domain::heartbeat> read_heartbeat(std::string_view text);

} // namespace turmeric::codecs
