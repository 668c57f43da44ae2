#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace turmeric::domain
{

/// Returns the members that `self` exchanges heartbeats with: the nearest
/// `neighbours` on each side of a ring ordered by digest, and on each side the
/// members at a distance of a third, a ninth, ... of the ring. Two members
/// choose each other, except where such a distance falls between members. So
/// the number of peers grows with the logarithm of the fleet, and a change
/// reaches all members in a few rounds. Precondition: `members` contains
/// `self`, and each member once. Thread safe.
[[nodiscard]] std::vector<std::string>
choose_peers(const std::string& self, const std::vector<std::string>& members,
             std::size_t neighbours);

} // namespace turmeric::domain
