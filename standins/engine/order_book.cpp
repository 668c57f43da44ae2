#include "standins/engine/order_book.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace turmeric::standins
{

order_book::order_book(std::set<std::string> versions, bool heeds_fencing)
    : m_versions(std::move(versions))
    , m_heeds_fencing(heeds_fencing)
{
}

status order_book::obey(const json& order)
{
    const auto fencing = order.find("fencing");
    if (fencing == order.end() || !fencing->is_number_integer())
    {
        return error{result_code::invalid_field, "fencing",
                     "a whole number is needed"};
    }
    const auto action = order.find("action");
    const action_handler handler = action != order.end() && action->is_string()
                                       ? find_action(action->get<std::string>())
                                       : nullptr;
    if (handler == nullptr)
    {
        return error{result_code::invalid_field, "action", "no such action"};
    }
    const auto version = order.find("version");
    if (version == order.end() || !version->is_string())
    {
        return error{result_code::invalid_field, "version", "a text is needed"};
    }
    std::lock_guard<std::mutex> lock(m_mutex);
    seen_order seen{fencing->get<std::int64_t>(), action->get<std::string>(),
                    version->get<std::string>(), true};
    if (m_heeds_fencing && seen.fencing < m_highest_fencing)
    {
        seen.was_obeyed = false;
        remember(std::move(seen));
        return error{result_code::upstream_refused_order, "fencing",
                     "a newer number was seen: " +
                         std::to_string(m_highest_fencing)};
    }
    m_highest_fencing = std::max(m_highest_fencing, seen.fencing);
    (this->*handler)(seen.version);
    remember(std::move(seen));
    return success();
}

bool order_book::serves(const std::string& version) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_versions.contains(version);
}

json order_book::show() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    json orders = json::array();
    for (const seen_order& order : m_orders)
    {
        orders.push_back({{"fencing", order.fencing},
                          {"action", order.action},
                          {"version", order.version},
                          {"obeyed", order.was_obeyed}});
    }
    return {{"versions", m_versions},
            {"role", m_role},
            {"highest_fencing", m_highest_fencing},
            {"orders", orders}};
}

order_book::action_handler order_book::find_action(const std::string& name)
{
    static constexpr std::array table = {
        action_row{"load_version", &order_book::load},
        action_row{"unload_version", &order_book::unload},
        action_row{"set_role", &order_book::set_role},
    };
    for (const action_row& row : table)
    {
        if (row.name == name)
        {
            return row.handler;
        }
    }
    return nullptr;
}

void order_book::load(const std::string& version)
{
    m_versions.insert(version);
}

void order_book::unload(const std::string& version)
{
    m_versions.erase(version);
}

void order_book::set_role(const std::string& role)
{
    m_role = role;
}

void order_book::remember(seen_order order)
{
    constexpr std::size_t most_orders = 1'000;
    if (m_orders.size() == most_orders)
    {
        m_orders.erase(m_orders.begin());
    }
    m_orders.push_back(std::move(order));
}

} // namespace turmeric::standins
