#pragma once

#include "libraries/core/json.hpp"
#include "libraries/core/result.hpp"

#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace turmeric::standins
{

/// The versions that an engine serves and the orders that change them.
/// Thread safe.
class order_book
{
public:
    /// `heeds_fencing`: refuses an order with a smaller number than it saw.
    order_book(std::set<std::string> versions, bool heeds_fencing);

    /// Obeys an order. `upstream_refused_order` for an old fencing number,
    /// `invalid_field` with the field for one that cannot be read.
    status obey(const json& order);

    /// Tells whether the engine serves `version`.
    [[nodiscard]] bool serves(const std::string& version) const;

    /// Returns versions, role, highest fencing number and the last orders.
    [[nodiscard]] json show() const;

private:
    struct seen_order
    {
        std::int64_t fencing = 0;
        std::string action;
        std::string version;
        bool was_obeyed = false;
    };

    using action_handler = void (order_book::*)(const std::string& version);

    struct action_row
    {
        std::string_view name;
        action_handler handler;
    };

    static action_handler find_action(const std::string& name);
    void load(const std::string& version);
    void unload(const std::string& version);
    void set_role(const std::string& role);
    void remember(seen_order order);

    mutable std::mutex m_mutex;
    std::set<std::string> m_versions;
    const bool m_heeds_fencing;
    std::string m_role = "mixed";
    std::int64_t m_highest_fencing = 0;
    std::vector<seen_order> m_orders;
};

} // namespace turmeric::standins
