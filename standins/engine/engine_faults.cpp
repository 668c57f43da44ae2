#include "standins/engine/engine_faults.hpp"

#include <array>
#include <span>
#include <utility>

namespace turmeric::standins
{

namespace
{

constexpr std::array request_fault_table = {
    switch_field<request_faults>{"delay_ms", &request_faults::delay_ms},
    switch_field<request_faults>{"fail_percent", &request_faults::fail_percent},
    switch_field<request_faults>{"slow_factor", &request_faults::slow_factor},
    switch_field<request_faults>{"cut_after_tokens",
                                 &request_faults::cut_after_tokens},
    switch_field<request_faults>{"silent_after_tokens",
                                 &request_faults::silent_after_tokens},
};

struct process_fault_field
{
    std::string_view name;
    bool process_faults::*pointer;
};

constexpr std::array process_fault_table = {
    process_fault_field{"freeze", &process_faults::freeze},
    process_fault_field{"leaving", &process_faults::leaving},
};

constexpr std::span<const switch_field<request_faults>> request_fault_fields =
    request_fault_table;

status apply_request_faults(const json& change, request_faults& faults)
{
    request_faults changed = faults;
    const status applied =
        apply_switches(request_fault_fields, change, changed);
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
        return error{result_code::malformed_body, "",
                     "body is not a JSON object"};
    }
    engine_faults changed = *this;
    for (const auto& [name, value] : change.items())
    {
        const status applied = name == "per_version"
                                   ? changed.apply_versions(value)
                                   : changed.apply_field(name, value);
        if (!applied)
        {
            return applied.failure();
        }
    }
    *this = std::move(changed);
    return success();
}

status engine_faults::apply_field(const std::string& name, const json& value)
{
    for (const process_fault_field& field : process_fault_table)
    {
        if (field.name != name)
        {
            continue;
        }
        if (!assign_switch(value, m_process_faults.*field.pointer))
        {
            return error{result_code::invalid_field, name,
                         "must be true or false"};
        }
        return success();
    }
    return apply_request_faults({{name, value}}, m_request_faults);
}

status engine_faults::apply_versions(const json& versions)
{
    if (!versions.is_object())
    {
        return error{result_code::invalid_field, "per_version",
                     "not a JSON object"};
    }
    for (const auto& [version, change] : versions.items())
    {
        if (change.is_null())
        {
            m_version_faults.erase(version);
            continue;
        }
        const status applied =
            apply_request_faults(change, m_version_faults[version]);
        if (!applied)
        {
            return applied.failure();
        }
    }
    return success();
}

const request_faults&
engine_faults::faults_of_version(const std::string& version) const
{
    const auto found = m_version_faults.find(version);
    return found == m_version_faults.end() ? m_request_faults : found->second;
}

const process_faults& engine_faults::faults_of_process() const
{
    return m_process_faults;
}

json engine_faults::to_json() const
{
    json document = switches_to_json(request_fault_fields, m_request_faults);
    for (const process_fault_field& field : process_fault_table)
    {
        document[std::string(field.name)] = m_process_faults.*field.pointer;
    }
    json versions = json::object();
    for (const auto& [version, faults] : m_version_faults)
    {
        versions[version] = switches_to_json(request_fault_fields, faults);
    }
    document["per_version"] = versions;
    return document;
}

} // namespace turmeric::standins
