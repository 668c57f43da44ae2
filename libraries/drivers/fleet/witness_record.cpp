#include "libraries/drivers/fleet/witness_record.hpp"

#include "libraries/codecs/common/json_reader.hpp"

#include <fmt/format.h>
#include <optional>
#include <utility>

namespace turmeric::drivers
{

namespace
{

std::optional<std::set<std::string>> read_names(const std::string& value)
{
    const result<json> parsed =
        codecs::parse_json(value, result_code::corrupt_value, "witnesses");
    if (!parsed || !parsed.value().is_array())
    {
        return std::nullopt;
    }
    std::set<std::string> names;
    for (const json& name : parsed.value())
    {
        if (!name.is_string())
        {
            return std::nullopt;
        }
        names.insert(name.get<std::string>());
    }
    return names;
}

} // namespace

std::string write_witness_prefix(ports::store_era era, const std::string& vm)
{
    return fmt::format("{}@{}/{}-", witness_prefix, era, vm);
}

std::map<std::string, std::set<std::string>>
read_witnesses(const std::vector<ports::key_value>& entries)
{
    std::map<std::string, std::set<std::string>> witnesses;
    for (const ports::key_value& entry : entries)
    {
        const std::size_t slash = entry.key.rfind('/');
        std::optional<std::set<std::string>> names = read_names(entry.value);
        if (slash != std::string::npos && names)
        {
            witnesses[entry.key.substr(slash + 1)] = std::move(*names);
        }
    }
    return witnesses;
}

witness_record::witness_record(domain::spending_limits& limits,
                               std::string incarnation)
    : m_limits(limits)
    , m_incarnation(std::move(incarnation))
{
}

std::string witness_record::key() const
{
    return fmt::format("{}@{}/{}", witness_prefix, m_era, m_incarnation);
}

void witness_record::begin_era(ports::store_era era)
{
    m_era = era;
    m_revision = 0;
}

bool witness_record::needs_change() const
{
    return m_limits.is_any_lost();
}

bool witness_record::add_to(ports::store_change& change)
{
    if (!m_limits.is_change_due())
    {
        return false;
    }
    m_sent = m_limits.choose_witnesses();
    m_limits.propose(m_sent, m_revision);
    change.conditions.push_back({key(), m_revision});
    change.writes.push_back({key(), json(m_sent).dump(), 0});
    return true;
}

void witness_record::record_committed(ports::revision at)
{
    m_revision = at;
    m_limits.set_recorded(m_sent, at);
}

void witness_record::record_refused(
    const std::vector<ports::key_value>& entries)
{
    for (const ports::key_value& entry : entries)
    {
        const std::optional<std::set<std::string>> names =
            entry.key == key() ? read_names(entry.value) : std::nullopt;
        if (names)
        {
            m_revision = entry.modification_revision;
            m_limits.set_recorded(*names, m_revision);
        }
    }
}

} // namespace turmeric::drivers
