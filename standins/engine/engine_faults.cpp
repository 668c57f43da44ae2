#include "standins/engine/engine_faults.hpp"

#include <array>
#include <span>
#include <utility>

namespace turmeric::standins
{

namespace
{

constexpr std::array request_table = {
    switch_row<request_faults>{"delay_ms", &request_faults::delay_ms},
    switch_row<request_faults>{"fail_percent", &request_faults::fail_percent},
    switch_row<request_faults>{"slow_factor", &request_faults::slow_factor},
    switch_row<request_faults>{"cut_after_tokens",
                               &request_faults::cut_after_tokens},
    switch_row<request_faults>{"silent_after_tokens",
                               &request_faults::silent_after_tokens},
};

struct process_row
{
    std::string_view name;
    bool process_faults::*place;
};

constexpr std::array process_table = {
    process_row{"freeze", &process_faults::freeze},
    process_row{"leaving", &process_faults::leaving},
};

constexpr std::span<const switch_row<request_faults>> request_rows =
    request_table;

status apply_request(const json& change, request_faults& faults)
{
    request_faults changed = faults;
    const status applied = apply_switches(request_rows, change, changed);
    if (!applied)
    {
        return applied.failure();
    }
    if (changed.slow_factor < 1.0)
    {
        return error{result_code::invalid_field, "slow_factor",
                     "must be at least 1"};
    }
    faults = changed;
    return success();
}

} // namespace

status engine_faults::apply(const json& change)
{
    if (!change.is_object())
    {
        return error{result_code::malformed_body, "", "not a JSON object"};
    }
    engine_faults changed = *this;
    for (const auto& [name, value] : change.items())
    {
        const status applied = name == "per_version"
                                   ? changed.apply_versions(value)
                                   : changed.apply_one(name, value);
        if (!applied)
        {
            return applied.failure();
        }
    }
    *this = std::move(changed);
    return success();
}

status engine_faults::apply_one(const std::string& name, const json& value)
{
    for (const process_row& row : process_table)
    {
        if (row.name != name)
        {
            continue;
        }
        if (!assign_switch(value, m_process.*row.place))
        {
            return error{result_code::invalid_field, name,
                         "neither true nor false"};
        }
        return success();
    }
    return apply_request({{name, value}}, m_request);
}

status engine_faults::apply_versions(const json& versions)
{
    if (!versions.is_object())
    {
        return error{result_code::invalid_field, "per_version",
                     "not an object"};
    }
    for (const auto& [version, change] : versions.items())
    {
        if (change.is_null())
        {
            m_versions.erase(version);
            continue;
        }
        const status applied = apply_request(change, m_versions[version]);
        if (!applied)
        {
            return applied.failure();
        }
    }
    return success();
}

const request_faults&
engine_faults::of_version(const std::string& version) const
{
    const auto found = m_versions.find(version);
    return found == m_versions.end() ? m_request : found->second;
}

const process_faults& engine_faults::of_process() const
{
    return m_process;
}

json engine_faults::show() const
{
    json shown = show_switches(request_rows, m_request);
    for (const process_row& row : process_table)
    {
        shown[std::string(row.name)] = m_process.*row.place;
    }
    json versions = json::object();
    for (const auto& [version, faults] : m_versions)
    {
        versions[version] = show_switches(request_rows, faults);
    }
    shown["per_version"] = versions;
    return shown;
}

} // namespace turmeric::standins
