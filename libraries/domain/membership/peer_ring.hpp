#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace turmeric::domain
{

/// Returns whom `self` exchanges heartbeats with: the nearest `neighbours`
/// on each side of a ring ordered by digest, and links that span a third, a
/// ninth, ... of the ring on each side. Each end names the other except at
/// a link's rounding, so traffic grows with the logarithm of the fleet, and
/// a change passes through any fleet in a few rounds. Precondition:
/// `members` hold `self`, each once. Thread safe.
[[nodiscard]] std::vector<std::string>
choose_peers(const std::string& self, const std::vector<std::string>& members,
             std::size_t neighbours);

} // namespace turmeric::domain
