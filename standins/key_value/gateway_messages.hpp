#pragma once

#include "libraries/core/json.hpp"
#include "libraries/core/result.hpp"
#include "standins/key_value/operations.hpp"

#include <cstdint>

namespace turmeric::standins
{

/// Reads a 64-bit integer that etcd's JSON gateway writes as a string; 0 if
/// the field is absent. An error names the field. Thread safe.
result<std::int64_t> read_int64_field(const json& object, const char* field);

/// Parses the range of a range call or of a watch. An error names the field.
/// Thread safe.
result<range_operation> parse_range(const json& body);

/// Parses the body of a transaction call. An error names the field. Thread
/// safe.
result<transaction> parse_transaction(const json& body);

/// Returns the header that each response contains. Thread safe.
[[nodiscard]] json header_to_json(std::int64_t revision);

/// Returns the response body of a range call. Precondition: the first reply of
/// `reply` is that of a range. Thread safe.
[[nodiscard]] json range_to_json(const transaction_reply& reply);

/// Returns the response body of a transaction. Thread safe.
[[nodiscard]] json transaction_to_json(const transaction_reply& reply);

/// Returns one message of a watch stream: the changes, or the cancellation if
/// the requested start is already compacted. Thread safe.
[[nodiscard]] json events_to_json(const watch_reply& reply);

} // namespace turmeric::standins
