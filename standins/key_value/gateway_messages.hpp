#pragma once

#include "libraries/core/json.hpp"
#include "libraries/core/result.hpp"
#include "standins/key_value/operations.hpp"

#include <cstdint>

namespace turmeric::standins
{

/// Reads a whole number that the gateway writes as a text; 0 when absent.
/// A fault names the field. Thread safe.
result<std::int64_t> read_int64_field(const json& object, const char* field);

/// Reads the range of a range call or of a watch. Thread safe.
result<range_operation> parse_range(const json& body);

/// Reads a transaction. Thread safe.
result<transaction> parse_transaction(const json& body);

/// Returns the header that each answer has. Thread safe.
[[nodiscard]] json header_to_json(std::int64_t revision);

/// Returns the answer to a range call. Thread safe.
[[nodiscard]] json range_to_json(const transaction_reply& reply);

/// Returns the answer to a transaction. Thread safe.
[[nodiscard]] json transaction_to_json(const transaction_reply& reply);

/// Returns one message of a watch. Thread safe.
[[nodiscard]] json events_to_json(const watch_reply& reply);

} // namespace turmeric::standins
