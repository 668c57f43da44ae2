#include "libraries/codecs/membership/membership_json.hpp"

#include "libraries/codecs/common/json_reader.hpp"
#include "libraries/core/json.hpp"

#include <algorithm>
#include <array>
#include <optional>

namespace turmeric::codecs
{

namespace
{

constexpr std::array<domain::member_state, 3> member_states{
    domain::member_state::live,
    domain::member_state::leaving,
    domain::member_state::stopped,
};

std::int64_t to_milliseconds(ports::system_time time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               time.time_since_epoch())
        .count();
}

json to_json(const domain::member& value)
{
    return json{
        {"incarnation", value.incarnation},
        {"address", value.address},
        {"peer_address", value.peer_address},
        {"vm", value.vm},
        {"data_centre", value.data_centre},
        {"started_ms", to_milliseconds(value.started)},
    };
}

json to_json(const domain::epoch_record& value)
{
    json epochs = json::array();
    for (const domain::router_epoch& epoch : value.epochs)
    {
        epochs.push_back(
            {{"number", epoch.number}, {"routers", epoch.routers}});
    }
    json origins = json::object();
    for (const auto& [router, origin] : value.origins)
    {
        origins[router] = {{"vm", origin.vm},
                           {"started_ms", to_milliseconds(origin.started)}};
    }
    return json{
        {"epochs", epochs},
        {"origins", origins},
        {"ended", value.ended},
        {"revision", value.revision},
    };
}

json to_json(const domain::member_row& value)
{
    return json{
        {"who", to_json(value.identity)},
        {"version", value.version},
        {"state", std::string(name_of(value.state))},
        {"share", value.share},
        {"load", value.load},
        {"acknowledged", value.acknowledged},
        {"configuration_version", value.configuration_version},
        {"configuration_digest", value.configuration_digest},
        {"silent_to", value.suspected_by},
    };
}

/// Reads typed fields of one JSON object and records the name of the first
/// field that is missing or invalid.
class field_reader
{
public:
    field_reader(const json& object, std::optional<std::string>& bad_field)
        : m_object(object)
        , m_bad_field(bad_field)
    {
    }

    template <class Value>
    void read(const char* name, Value& into)
    {
        try
        {
            m_object.at(name).get_to(into);
        }
        catch (const json::exception&)
        {
            record_bad_field(name);
        }
    }

    [[nodiscard]] const json& object(const char* name)
    {
        static const json empty = json::object();
        auto found = m_object.find(name);
        if (!m_object.is_object() || found == m_object.end())
        {
            record_bad_field(name);
            return empty;
        }
        return *found;
    }

    [[nodiscard]] ports::system_time read_time(const char* name)
    {
        std::int64_t milliseconds = 0;
        read(name, milliseconds);
        return ports::system_time(std::chrono::milliseconds(milliseconds));
    }

    void record_bad_field(const char* name)
    {
        m_bad_field = m_bad_field.value_or(name);
    }

private:
    const json& m_object;
    std::optional<std::string>& m_bad_field;
};

void from_json(const json& text, domain::member& value,
               std::optional<std::string>& bad_field)
{
    field_reader fields(text, bad_field);
    fields.read("incarnation", value.incarnation);
    fields.read("address", value.address);
    fields.read("peer_address", value.peer_address);
    fields.read("vm", value.vm);
    fields.read("data_centre", value.data_centre);
    std::int64_t started = 0;
    fields.read("started_ms", started);
    value.started = ports::system_time(std::chrono::milliseconds(started));
}

void from_json(const json& text, domain::epoch_record& value,
               std::optional<std::string>& bad_field)
{
    field_reader fields(text, bad_field);
    for (const json& item : fields.object("epochs"))
    {
        domain::router_epoch& epoch = value.epochs.emplace_back();
        field_reader epoch_fields(item, bad_field);
        epoch_fields.read("number", epoch.number);
        epoch_fields.read("routers", epoch.routers);
        if (!std::is_sorted(epoch.routers.begin(), epoch.routers.end()))
        {
            epoch_fields.record_bad_field("routers");
        }
    }
    for (const auto& [router, item] : fields.object("origins").items())
    {
        field_reader origin_fields(item, bad_field);
        domain::router_origin& origin = value.origins[router];
        origin_fields.read("vm", origin.vm);
        origin.started = origin_fields.read_time("started_ms");
    }
    fields.read("ended", value.ended);
    fields.read("revision", value.revision);
}

void from_json(const json& text, domain::member_row& value,
               std::optional<std::string>& bad_field)
{
    field_reader fields(text, bad_field);
    from_json(fields.object("who"), value.identity, bad_field);
    fields.read("version", value.version);
    std::string state;
    fields.read("state", state);
    auto found = std::find_if(member_states.begin(), member_states.end(),
                              [&state](domain::member_state candidate)
                              { return name_of(candidate) == state; });
    if (found == member_states.end())
    {
        fields.record_bad_field("state");
        return;
    }
    value.state = *found;
    fields.read("share", value.share);
    fields.read("load", value.load);
    fields.read("acknowledged", value.acknowledged);
    fields.read("configuration_version", value.configuration_version);
    fields.read("configuration_digest", value.configuration_digest);
    fields.read("silent_to", value.suspected_by);
}

void from_json(const json& text, domain::heartbeat& value,
               std::optional<std::string>& bad_field)
{
    field_reader fields(text, bad_field);
    fields.read("sender", value.sender);
    fields.read("index", value.index);
    fields.read("received", value.received);
    fields.read("record_revision", value.record_revision);
    for (const json& item : fields.object("rows"))
    {
        from_json(item, value.rows.emplace_back(), bad_field);
    }
    if (text.is_object() && text.contains("record"))
    {
        from_json(text.at("record"), value.record.emplace(), bad_field);
    }
}

template <class Value>
result<Value> read(std::string_view text, result_code code,
                   std::string_view document_name)
{
    result<json> parsed = parse_json(text, code, document_name);
    if (!parsed)
    {
        return parsed.failure();
    }
    Value value;
    std::optional<std::string> bad_field;
    from_json(parsed.value(), value, bad_field);
    if (bad_field)
    {
        return error{code, *bad_field, "missing or invalid"};
    }
    return value;
}

} // namespace

std::string write_member(const domain::member& value,
                         domain::member_state state)
{
    json written = to_json(value);
    written["state"] = std::string(name_of(state));
    return written.dump();
}

result<domain::member> read_member(std::string_view text)
{
    return read<domain::member>(text, result_code::corrupt_value, "member");
}

std::string write_epochs(const domain::epoch_record& value)
{
    return to_json(value).dump();
}

result<domain::epoch_record> read_epochs(std::string_view text)
{
    return read<domain::epoch_record>(text, result_code::corrupt_value,
                                      "epochs");
}

std::string write_heartbeat(const domain::heartbeat& value)
{
    json rows = json::array();
    for (const domain::member_row& row : value.rows)
    {
        rows.push_back(to_json(row));
    }
    json written{
        {"sender", value.sender},
        {"index", value.index},
        {"received", value.received},
        {"record_revision", value.record_revision},
        {"rows", rows},
    };
    if (value.record)
    {
        written["record"] = to_json(*value.record);
    }
    return written.dump();
}

result<domain::heartbeat> read_heartbeat(std::string_view text)
{
    return read<domain::heartbeat>(text, result_code::peer_protocol,
                                   "heartbeat");
}

} // namespace turmeric::codecs
