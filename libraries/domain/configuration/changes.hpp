#pragma once

#include "libraries/domain/configuration/object_lists.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace turmeric::domain
{

/// What happened to an object between two configurations.
enum class change_kind : std::uint8_t
{
    added,
    changed,
    removed,
};

/// Returns the kind's name. Thread safe.
[[nodiscard]] std::string_view name_of(change_kind change);

/// One object that differs between two configurations.
struct object_change
{
    object_kind kind = object_kind::account;
    std::string name;
    change_kind change = change_kind::added;

    bool operator==(const object_change&) const = default;
};

/// Returns what differs, by kind and then name; versions are not compared.
/// Precondition: names are unique within each list. Thread safe.
[[nodiscard]] std::vector<object_change>
changes_between(const configuration& from, const configuration& to);

/// Returns `base` with the objects of `declared` added or replaced; with
/// `is_complete` the objects that `declared` lacks are removed. An account
/// declared without key digests keeps the ones it has. Thread safe.
[[nodiscard]] configuration with_declarations(const configuration& base,
                                              const configuration& declared,
                                              bool is_complete);

} // namespace turmeric::domain
