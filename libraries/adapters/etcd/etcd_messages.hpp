#pragma once

#include "libraries/core/json.hpp"
#include "libraries/ports/key_value_store.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace turmeric::adapters
{

/// The fields of a transaction's reply that the store reads.
struct etcd_txn_reply
{
    bool succeeded = false;
    ports::revision store_revision = 0;
};

/// Returns the exclusive end of the range of keys that start with `prefix`: the
/// first key after them, or a zero byte if the range has no end. Thread safe.
[[nodiscard]] std::string prefix_range_end(std::string prefix);

/// Reads a 64-bit integer, which the gateway writes as a string; returns 0 when
/// the field is absent and nullopt when it is not an integer. Thread safe.
[[nodiscard]] std::optional<std::int64_t> read_int64(const json& object,
                                                     const char* field);

/// Reads the key, value and modification revision of an entry. Thread safe.
[[nodiscard]] std::optional<ports::key_value> read_etcd_entry(const json& kv);

/// Reads one event of a watch. Thread safe.
[[nodiscard]] std::optional<ports::key_event>
read_etcd_event(const json& event);

/// Reads the reply to a range request. Thread safe.
[[nodiscard]] std::optional<ports::key_range>
read_etcd_range(const json& reply);

/// Reads the reply to a transaction. Thread safe.
[[nodiscard]] std::optional<etcd_txn_reply> read_etcd_txn(const json& reply);

/// Makes a transaction that puts `value` if the modification revision of `key`
/// is `expected`. Thread safe.
[[nodiscard]] json make_etcd_compare_and_swap(const std::string& key,
                                              const std::string& value,
                                              ports::revision expected,
                                              ports::lease_id lease);

/// Makes a transaction that deletes `key` if its modification revision is
/// `expected`. Thread safe.
[[nodiscard]] json make_etcd_compare_and_delete(const std::string& key,
                                                ports::revision expected);

/// Makes a request to watch the keys that start with `prefix` for changes from
/// revision `start` on. Thread safe.
[[nodiscard]] json make_etcd_watch_request(const std::string& prefix,
                                           ports::revision start);

} // namespace turmeric::adapters
