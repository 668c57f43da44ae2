#pragma once

#include "libraries/domain/configuration/object_lists.hpp"

#include <string>
#include <vector>

namespace turmeric::domain
{

/// An object that two operators changed in different ways.
struct object_conflict
{
    object_kind kind = object_kind::account;
    std::string name;

    bool operator==(const object_conflict&) const = default;
};

/// The result of a three-way merge; `merged` is valid only if there is no
/// conflict.
struct merge_result
{
    configuration merged;
    std::vector<object_conflict> conflicts;
};

/// Merges the change from `base` to `wanted` into `current`, object by
/// object. If only one side changed an object, the result has that side's
/// change; the same change on both sides is not a conflict. `merged` has the
/// version of `current`. Precondition: names are unique within each list.
/// Thread safe.
[[nodiscard]] merge_result merge(const configuration& base,
                                 const configuration& current,
                                 const configuration& wanted);

} // namespace turmeric::domain
