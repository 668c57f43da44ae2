#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/configuration/declarations.hpp"

#include <memory>
#include <string>
#include <unordered_map>

namespace turmeric::router
{

/// Looks up client accounts by API key and routes by name in one version of
/// the configuration. Immutable, and therefore thread safe.
class configuration_index
{
public:
    /// Precondition: `declared` is not null.
    explicit configuration_index(
        std::shared_ptr<const domain::configuration> declared);

    /// Returns the client account whose key an `Authorization` header carries.
    /// Errors: `missing_key`, `wrong_key`. Thread safe.
    [[nodiscard]] result<const domain::account_declaration*>
    authenticate(const std::string& authorization) const;

    /// Returns the route with this name and kind. Error: `unknown_route`.
    /// Thread safe.
    [[nodiscard]] result<const domain::route_declaration*>
    find_route(const std::string& name, domain::route_kind kind) const;

    /// Returns the version of the configuration. Thread safe.
    [[nodiscard]] std::int64_t version() const;

private:
    std::shared_ptr<const domain::configuration> m_declared;
    /// Client accounts by the digest of each of their keys.
    std::unordered_map<std::string, const domain::account_declaration*>
        m_accounts;
    std::unordered_map<std::string, const domain::route_declaration*> m_routes;
};

/// Returns the name of the budget that pays for a request to `route`: the
/// budget `requested`, or, if that is empty, the first budget that may pay for
/// the route. A budget without routes may pay for all routes. Error:
/// `unknown_budget`, also if the requested budget may not pay for the route.
/// Thread safe.
result<std::string> find_budget(const domain::account_declaration& account,
                                const std::string& route,
                                const std::string& requested);

} // namespace turmeric::router
