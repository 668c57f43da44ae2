#pragma once

#include "libraries/domain/configuration/object_lists.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace turmeric::domain
{

/// How an object differs between two configurations.
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

/// Returns the objects that differ, ordered by kind. Within a kind, added and
/// changed objects come first, then removed ones, both ordered by name. The
/// versions of the configurations are not compared. Precondition: names are
/// unique within each list. Thread safe.
[[nodiscard]] std::vector<object_change>
changes_between(const configuration& from, const configuration& to);

/// Objects that an operator declares.
struct declaration_set
{
    /// The declared objects; the version is ignored. An account without key
    /// digests keeps its current ones, because keys are created by a separate
    /// operation.
    configuration objects;
    /// Names of upstreams that are declared without a state. They keep their
    /// current state, because draining is a separate operation.
    std::set<std::string> upstreams_without_state;
    /// If true, objects that are not declared are removed, except for VMs,
    /// because draining a VM is a separate operation.
    bool is_complete = false;
};

/// Returns `base` with the objects of `declared` added or replaced and, if the
/// set is complete, the other objects removed. Thread safe.
[[nodiscard]] configuration with_declarations(const configuration& base,
                                              const declaration_set& declared);

/// Copies the fields that `declared` leaves unspecified from `current` to
/// `base`, so that a merge does not report their later changes as conflicts.
/// Thread safe.
void adopt_unspecified_fields(const configuration& current,
                              const declaration_set& declared,
                              configuration& base);

} // namespace turmeric::domain
