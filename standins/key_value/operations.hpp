#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace turmeric::standins
{

/// The stored state of one key. For a deleted key, only `mod_revision` is set.
struct stored_value
{
    std::string value;
    std::int64_t create_revision = 0;
    std::int64_t mod_revision = 0;
    std::int64_t version = 0;
    std::int64_t lease = 0;
};

/// A key with its stored state.
struct stored_entry
{
    std::string key;
    stored_value state;
};

/// One change in the history of the store.
struct store_event
{
    stored_entry entry;
    bool is_deleted = false;
};

/// Reads one key, or, if `range_end` is set, the keys from `key` up to but not
/// including `range_end`. A `range_end` of one zero byte means no end.
struct range_operation
{
    std::string key;
    std::string range_end;
    /// The largest number of keys returned; 0 means all.
    std::int64_t limit = 0;
};

/// Sets the value of a key and attaches the key to a lease; lease 0 means
/// none.
struct put_operation
{
    std::string key;
    std::string value;
    std::int64_t lease = 0;
};

/// Deletes the keys of a range, which is given as in `range_operation`.
struct delete_operation
{
    std::string key;
    std::string range_end;
};

using operation =
    std::variant<range_operation, put_operation, delete_operation>;

/// The required relation of the stored number to the one of the comparison.
enum class comparison
{
    equal,
    not_equal,
    greater,
    less,
};

/// Compares one stored number of a key with `number`. The numbers of a key that
/// does not exist are 0.
struct compare_operation
{
    std::string key;
    std::int64_t stored_value::*target = &stored_value::mod_revision;
    comparison relation = comparison::equal;
    std::int64_t number = 0;
};

/// Runs `success` if all comparisons hold, otherwise `failure`. The comparisons
/// and operations are one atomic step.
struct transaction
{
    std::vector<compare_operation> compares;
    std::vector<operation> success;
    std::vector<operation> failure;
};

/// The result of a range operation: the keys found, at most `limit`, and the
/// number of all keys in the range.
struct range_reply
{
    std::vector<stored_entry> entries;
    std::int64_t count = 0;
};

/// The result of a put operation, which has no content.
struct put_reply
{
};

/// The result of a delete operation: the number of deleted keys.
struct delete_reply
{
    std::int64_t deleted = 0;
};

using operation_reply = std::variant<range_reply, put_reply, delete_reply>;

/// The result of a transaction: whether its comparisons held, the revision
/// afterwards and the results of the operations that ran.
struct transaction_reply
{
    bool succeeded = false;
    std::int64_t revision = 0;
    std::vector<operation_reply> replies;
};

/// The next changes for a watch.
struct watch_reply
{
    std::vector<store_event> events;
    std::int64_t revision = 0;
    /// If not 0, the history no longer contains the changes up to this
    /// revision, and the requested start is among them.
    std::int64_t compact_revision = 0;
};

} // namespace turmeric::standins
