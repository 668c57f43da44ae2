#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace turmeric::domain
{

/// The largest number of routers that obtain grants of one account from the
/// store. Each of them changes the account's record about once a second, and a
/// change fails if another router changed the record during the store's
/// response time, so the writers of a record must stay few in a large fleet.
/// More than one keeps most of an account's tokens when a router fails.
constexpr std::size_t max_account_holders = 8;

/// Assigns each account to a few routers, which hold its tokens and lend them
/// to the others, by rendezvous hashing. Routers that know of the same routers
/// make the same assignment. Not thread safe.
class account_holders
{
public:
    /// Sets the incarnations of the routers that can hold tokens.
    void set_routers(const std::set<std::string>& routers);

    /// Returns the holders of an account by descending rank; empty if there
    /// are no routers. The reference is valid until the next call of
    /// `set_routers`.
    [[nodiscard]] const std::vector<std::string>&
    list(const std::string& account);

    /// Returns whether a router holds tokens of an account.
    [[nodiscard]] bool is_holder(const std::string& account,
                                 const std::string& router);

private:
    std::set<std::string> m_routers;
    std::map<std::string, std::uint64_t> m_router_digests;
    std::map<std::string, std::vector<std::string>> m_holders;
};

} // namespace turmeric::domain
