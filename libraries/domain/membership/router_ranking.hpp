#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace turmeric::domain
{

/// Ranks the routers of the fleet for a key by rendezvous hashing, to choose
/// those that do something for the whole fleet. Routers that know of the same
/// routers rank them alike. Thread safe while no thread assigns to it.
class router_ranking
{
public:
    /// A fleet that consists of this router alone.
    router_ranking() = default;

    /// Precondition: the incarnations in `peers` do not include `self`.
    router_ranking(const std::string& self, const std::set<std::string>& peers);

    /// Returns how many routers rank above this one for a key.
    [[nodiscard]] std::size_t position_for(std::uint64_t key) const;

    /// Returns whether this router ranks first for a key.
    [[nodiscard]] bool is_first_for(std::uint64_t key) const;

    /// Returns the number of routers, including this one.
    [[nodiscard]] std::size_t size() const;

private:
    std::uint64_t m_self = 0;
    std::vector<std::uint64_t> m_peers;
};

} // namespace turmeric::domain
