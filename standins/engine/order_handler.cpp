#include "standins/engine/order_handler.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace turmeric::standins
{

order_handler::order_handler(std::set<std::string> versions,
                             bool enforces_fencing)
    : m_versions(std::move(versions))
    , m_enforces_fencing(enforces_fencing)
{
}

status order_handler::execute(const json& order)
{
    const auto fencing = order.find("fencing");
    if (fencing == order.end() || !fencing->is_number_integer())
    {
        return error{result_code::invalid_field, "fencing",
                     "must be an integer"};
    }
    const auto action = order.find("action");
    const action_handler handler = action != order.end() && action->is_string()
                                       ? find_action(action->get<std::string>())
                                       : nullptr;
    if (handler == nullptr)
    {
        return error{result_code::invalid_field, "action", "unknown action"};
    }
    const auto version = order.find("version");
    if (version == order.end() || !version->is_string())
    {
        return error{result_code::invalid_field, "version", "must be a string"};
    }
    std::lock_guard<std::mutex> lock(m_mutex);
    order_record record{fencing->get<std::int64_t>(),
                        action->get<std::string>(), version->get<std::string>(),
                        true};
    if (m_enforces_fencing && record.fencing < m_highest_fencing)
    {
        record.was_executed = false;
        add_record(std::move(record));
        return error{result_code::upstream_refused_order, "fencing",
                     "outdated, an earlier order had " +
                         std::to_string(m_highest_fencing)};
    }
    m_highest_fencing = std::max(m_highest_fencing, record.fencing);
    (this->*handler)(record.version);
    add_record(std::move(record));
    return success();
}

bool order_handler::is_serving(const std::string& version) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_versions.contains(version);
}

json order_handler::to_json() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    json orders = json::array();
    for (const order_record& record : m_records)
    {
        orders.push_back({{"fencing", record.fencing},
                          {"action", record.action},
                          {"version", record.version},
                          {"obeyed", record.was_executed}});
    }
    return {{"versions", m_versions},
            {"role", m_role},
            {"highest_fencing", m_highest_fencing},
            {"orders", orders}};
}

order_handler::action_handler
order_handler::find_action(const std::string& name)
{
    static constexpr std::array table = {
        action_entry{"load_version", &order_handler::load},
        action_entry{"unload_version", &order_handler::unload},
        action_entry{"set_role", &order_handler::set_role},
    };
    for (const action_entry& entry : table)
    {
        if (entry.name == name)
        {
            return entry.handler;
        }
    }
    return nullptr;
}

void order_handler::load(const std::string& version)
{
    m_versions.insert(version);
}

void order_handler::unload(const std::string& version)
{
    m_versions.erase(version);
}

void order_handler::set_role(const std::string& role)
{
    m_role = role;
}

void order_handler::add_record(order_record record)
{
    constexpr std::size_t max_records = 1'000;
    if (m_records.size() == max_records)
    {
        m_records.erase(m_records.begin());
    }
    m_records.push_back(std::move(record));
}

} // namespace turmeric::standins
