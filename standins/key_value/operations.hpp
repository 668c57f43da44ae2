#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace turmeric::standins
{

/// The state of one key.
struct stored_value
{
    std::string value;
    std::int64_t create_revision = 0;
    std::int64_t mod_revision = 0;
    std::int64_t version = 0;
    std::int64_t lease = 0;
};

/// A key and its state.
struct stored_entry
{
    std::string key;
    stored_value state;
};

/// One change in the store's history.
struct store_event
{
    stored_entry entry;
    bool is_deleted = false;
};

/// One key, or those from `key` on before `range_end` when that is set; a
/// `range_end` of one zero byte means no end.
struct range_operation
{
    std::string key;
    std::string range_end;
    /// 0 means all.
    std::int64_t limit = 0;
};

/// Sets a key.
struct put_operation
{
    std::string key;
    std::string value;
    std::int64_t lease = 0;
};

/// Deletes the keys of a range.
struct delete_operation
{
    std::string key;
    std::string range_end;
};

using operation =
    std::variant<range_operation, put_operation, delete_operation>;

/// How a compared number relates to the stored one.
enum class comparison
{
    equal,
    not_equal,
    greater,
    less,
};

/// Compares one number of a key; a key that does not exist has zeros.
struct compare_operation
{
    std::string key;
    std::int64_t stored_value::*target = &stored_value::mod_revision;
    comparison relation = comparison::equal;
    std::int64_t number = 0;
};

/// Runs `success` if all comparisons hold, else `failure`; all at once.
struct transaction
{
    std::vector<compare_operation> compares;
    std::vector<operation> success;
    std::vector<operation> failure;
};

/// What a range found.
struct range_reply
{
    std::vector<stored_entry> entries;
    std::int64_t count = 0;
};

/// A key was set.
struct put_reply
{
};

/// Keys were deleted.
struct delete_reply
{
    std::int64_t deleted = 0;
};

using operation_reply = std::variant<range_reply, put_reply, delete_reply>;

/// What a transaction did.
struct transaction_reply
{
    bool succeeded = false;
    std::int64_t revision = 0;
    std::vector<operation_reply> replies;
};

/// The changes that a watch gets next.
struct watch_reply
{
    std::vector<store_event> events;
    std::int64_t revision = 0;
    /// Not 0: the wanted start is older than the kept history.
    std::int64_t compact_revision = 0;
};

} // namespace turmeric::standins
