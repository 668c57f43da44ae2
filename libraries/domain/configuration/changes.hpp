#pragma once

#include "libraries/domain/configuration/object_lists.hpp"

#include <cstdint>
#include <set>
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

/// Objects that an operator declares.
struct declaration_set
{
    /// The version is not read. An account without key digests keeps the
    /// ones that it has, since keys are made apart.
    configuration objects;
    /// Upstreams declared without a state; they keep the one that they have,
    /// since they are drained apart.
    std::set<std::string> upstreams_without_state;
    /// Removes the objects that are not declared, but for VMs, which are
    /// drained apart.
    bool is_complete = false;
};

/// Returns `base` with the objects of `declared` added or replaced. Thread
/// safe.
[[nodiscard]] configuration with_declarations(const configuration& base,
                                              const declaration_set& declared);

/// Copies the fields that `declared` leaves as they are from `current` to
/// `base`, so that a change of them since is no conflict. Thread safe.
void adopt_unspecified_fields(const configuration& current,
                              const declaration_set& declared,
                              configuration& base);

} // namespace turmeric::domain
