#include "libraries/codecs/move/move_state_codec.hpp"

#include "libraries/codecs/common/json_reader.hpp"
#include "libraries/codecs/move/field_reader.hpp"
#include "libraries/codecs/move/latency_limits_codec.hpp"

#include <algorithm>

namespace turmeric::codecs
{

namespace
{

using std::chrono::microseconds;
using system_time = std::chrono::system_clock::time_point;

std::int64_t to_microseconds(system_time time)
{
    return std::chrono::duration_cast<microseconds>(time.time_since_epoch())
        .count();
}

system_time read_time(field_reader& reader, std::string_view name)
{
    return system_time(microseconds(reader.integer(name)));
}

std::int32_t read_share(field_reader& reader, std::string_view name)
{
    const std::int64_t share = reader.integer(name);
    if (share < 0 || share > domain::full_share)
    {
        reader.reject(name, "not between 0 and 1000000");
        return 0;
    }
    return static_cast<std::int32_t>(share);
}

domain::move_phase read_phase(field_reader& reader, std::string_view name)
{
    const std::string text = reader.text(name);
    const auto found = std::find(domain::move_phase_names.begin(),
                                 domain::move_phase_names.end(), text);
    if (found == domain::move_phase_names.end())
    {
        reader.reject(name, "unknown name of a phase");
        return domain::move_phase::waiting;
    }
    return static_cast<domain::move_phase>(found -
                                           domain::move_phase_names.begin());
}

std::vector<std::string> read_strings(field_reader& reader,
                                      std::string_view name)
{
    std::vector<std::string> texts;
    for (const json& entry : reader.array(name))
    {
        if (!entry.is_string())
        {
            reader.reject(name, "an entry is not a string");
            break;
        }
        texts.push_back(entry.get<std::string>());
    }
    return texts;
}

} // namespace

std::string move_key_of(std::string_view route)
{
    return std::string(move_key_prefix) + std::string(route);
}

std::string encode(const domain::move_state& state)
{
    json encoded = {{"route", state.route},
                    {"from", state.from_version},
                    {"to", state.to_version},
                    {"identity", state.identity},
                    {"phase", name_of(state.phase)},
                    {"step", state.step},
                    {"share", state.share},
                    {"capped_share", state.capped_share},
                    {"fencing", state.fencing},
                    {"sequence", state.sequence},
                    {"deadline", to_microseconds(state.deadline)},
                    {"since", to_microseconds(state.since)},
                    {"ready", state.ready_upstreams},
                    {"reason", state.reason}};
    if (state.limits)
    {
        encoded["limits"] = to_json(*state.limits);
    }
    return encoded.dump();
}

result<domain::move_state> decode_move_state(std::string_view text)
{
    result<json> parsed =
        parse_json(text, result_code::corrupt_value, "move state");
    if (!parsed)
    {
        return parsed.failure();
    }
    field_reader reader(parsed.value(), "", result_code::corrupt_value);
    domain::move_state state;
    state.route = reader.text("route");
    state.from_version = reader.text("from");
    state.to_version = reader.text("to");
    state.identity = reader.unsigned_integer("identity");
    state.phase = read_phase(reader, "phase");
    state.step = static_cast<std::int32_t>(reader.integer("step"));
    state.share = read_share(reader, "share");
    state.capped_share = read_share(reader, "capped_share");
    state.fencing = reader.integer("fencing");
    state.sequence = reader.integer("sequence");
    state.deadline = read_time(reader, "deadline");
    state.since = read_time(reader, "since");
    state.ready_upstreams = read_strings(reader, "ready");
    state.reason = reader.text("reason");
    if (reader.has("limits"))
    {
        state.limits = read_latency_limits(reader, "limits");
    }
    if (reader.first_error())
    {
        return *reader.first_error();
    }
    return state;
}

} // namespace turmeric::codecs
