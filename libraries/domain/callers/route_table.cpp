#include "libraries/domain/callers/route_table.hpp"

#include <utility>

namespace turmeric::domain
{

route_table::route_table(route_declarations declarations)
    : m_declarations(std::move(declarations))
{
    for (const caller_route& route : m_declarations.routes)
    {
        m_routes[route.host][route.prefix] = &route;
    }
    for (const caller_account& account : m_declarations.accounts)
    {
        for (const std::string& key : account.keys)
        {
            m_accounts[key] = &account;
        }
    }
    for (const upstream_service& service : m_declarations.services)
    {
        m_services[service.name] = &service;
    }
}

std::int64_t route_table::version() const
{
    return m_declarations.version;
}

const caller_limits& route_table::limits() const
{
    return m_declarations.limits;
}

const caller_route* route_table::find_route(std::string_view host,
                                            std::string_view path) const
{
    const auto host_routes = m_routes.find(host);
    if (host_routes == m_routes.end())
    {
        return nullptr;
    }
    // Route prefixes end with a slash, so only the parts of the path that end
    // with a slash are looked up.
    std::string_view candidate = path;
    while (!candidate.empty())
    {
        const std::size_t slash = candidate.rfind('/');
        if (slash == std::string_view::npos)
        {
            return nullptr;
        }
        const auto found = host_routes->second.find(
            std::string(candidate.substr(0, slash + 1)));
        if (found != host_routes->second.end())
        {
            return found->second;
        }
        candidate = candidate.substr(0, slash);
    }
    return nullptr;
}

const caller_account* route_table::find_account(std::string_view key) const
{
    const auto found = m_accounts.find(std::string(key));
    return found == m_accounts.end() ? nullptr : found->second;
}

bool route_table::has_accounts() const
{
    return !m_declarations.accounts.empty();
}

const std::vector<caller_account>& route_table::accounts() const
{
    return m_declarations.accounts;
}

const std::vector<upstream_service>& route_table::services() const
{
    return m_declarations.services;
}

const upstream_service* route_table::find_service(std::string_view name) const
{
    const auto found = m_services.find(std::string(name));
    return found == m_services.end() ? nullptr : found->second;
}

} // namespace turmeric::domain
