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

/// Executes the orders that change an engine's role and the versions that it
/// serves, and records them. Thread safe.
class order_handler
{
public:
    /// `versions` are served at the start. If `enforces_fencing` is true, an
    /// order is refused when its fencing number is smaller than that of an
    /// earlier order.
    order_handler(std::set<std::string> versions, bool enforces_fencing);

    /// Executes an order. Fails with `upstream_refused_order` if its fencing
    /// number is outdated, and with `invalid_field` and the field's name if it
    /// cannot be parsed.
    status execute(const json& order);

    /// Returns whether the engine serves `version`.
    [[nodiscard]] bool is_serving(const std::string& version) const;

    /// Returns the versions, the role, the highest fencing number and the most
    /// recent orders as JSON.
    [[nodiscard]] json to_json() const;

private:
    struct order_record
    {
        std::int64_t fencing = 0;
        std::string action;
        std::string version;
        bool was_executed = false;
    };

    using action_handler = void (order_handler::*)(const std::string& version);

    struct action_entry
    {
        std::string_view name;
        action_handler handler;
    };

    static action_handler find_action(const std::string& name);
    void load(const std::string& version);
    void unload(const std::string& version);
    void set_role(const std::string& role);
    void add_record(order_record record);

    mutable std::mutex m_mutex;
    std::set<std::string> m_versions;
    const bool m_enforces_fencing;
    std::string m_role = "mixed";
    std::int64_t m_highest_fencing = 0;
    std::vector<order_record> m_records;
};

} // namespace turmeric::standins
