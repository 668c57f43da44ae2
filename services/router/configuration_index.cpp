#include "services/router/configuration_index.hpp"

#include "libraries/adapters/openssl/digests.hpp"

#include <algorithm>
#include <cassert>
#include <string_view>

namespace turmeric::router
{

configuration_index::configuration_index(
    std::shared_ptr<const domain::configuration> declared)
    : m_declared(std::move(declared))
{
    assert(m_declared != nullptr);
    for (const domain::account_declaration& account : m_declared->accounts)
    {
        for (const std::string& digest : account.key_digests)
        {
            m_accounts.emplace(digest, &account);
        }
    }
    for (const domain::route_declaration& route : m_declared->routes)
    {
        m_routes.emplace(route.name, &route);
    }
}

result<const domain::account_declaration*>
configuration_index::authenticate(const std::string& authorization) const
{
    constexpr std::string_view scheme = "Bearer ";
    if (!authorization.starts_with(scheme) ||
        authorization.size() == scheme.size())
    {
        return error{result_code::missing_key, "Authorization",
                     "expected a bearer key"};
    }
    // The search compares digests, so its duration reveals nothing about any
    // key.
    std::string digest =
        adapters::sha256_hex(authorization.substr(scheme.size()));
    auto found = m_accounts.find(digest);
    if (found == m_accounts.end() ||
        !adapters::is_equal_in_constant_time(found->first, digest))
    {
        return error{result_code::wrong_key, "Authorization",
                     "the key belongs to no client account"};
    }
    return found->second;
}

result<const domain::route_declaration*>
configuration_index::find_route(const std::string& name,
                                domain::route_kind kind) const
{
    auto found = m_routes.find(name);
    if (found == m_routes.end() || found->second->kind != kind)
    {
        return error{result_code::unknown_route, "route",
                     "no route of this name and kind is in force"};
    }
    return found->second;
}

std::int64_t configuration_index::version() const
{
    return m_declared->version;
}

result<std::string> find_budget(const domain::account_declaration& account,
                                const std::string& route,
                                const std::string& requested)
{
    for (const domain::budget_declaration& budget : account.budgets)
    {
        bool is_named = requested.empty() || budget.name == requested;
        bool is_for_route =
            budget.routes.empty() ||
            std::find(budget.routes.begin(), budget.routes.end(), route) !=
                budget.routes.end();
        if (is_named && is_for_route)
        {
            return budget.name;
        }
    }
    return error{result_code::unknown_budget, "Turmeric-Budget",
                 "the client account has no budget for this route"};
}

} // namespace turmeric::router
