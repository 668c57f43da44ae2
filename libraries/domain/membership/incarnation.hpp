#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace turmeric::domain
{

/// Returns the name of one start of the router process on a VM. Precondition:
/// `number` is random, so that no two starts have the same name. Thread safe.
[[nodiscard]] std::string make_incarnation(std::string_view vm,
                                           std::uint64_t number);

/// Returns whether `incarnation` names a start of the router process on `vm`.
/// Thread safe.
[[nodiscard]] bool is_incarnation_of(std::string_view incarnation,
                                     std::string_view vm);

} // namespace turmeric::domain
