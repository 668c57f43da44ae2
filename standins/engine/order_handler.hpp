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
class order_handler
{
public:
    /// `enforces_fencing`: refuses an order with a smaller number than it saw.
    order_handler(std::set<std::string> versions, bool enforces_fencing);

    /// Obeys an order. `upstream_refused_order` for an old fencing number,
    /// `invalid_field` with the field for one that cannot be read.
    status execute(const json& order);

    /// Tells whether the engine serves `version`.
    [[nodiscard]] bool is_serving(const std::string& version) const;

    /// Returns versions, role, highest fencing number and the last orders.
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
