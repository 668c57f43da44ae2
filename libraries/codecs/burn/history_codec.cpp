#include "libraries/codecs/burn/history_codec.hpp"

#include "libraries/codecs/common/json_reader.hpp"
#include "libraries/codecs/move/field_reader.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace turmeric::codecs
{

namespace
{

domain::objective_kind read_objective_kind(field_reader& reader)
{
    const std::string text = reader.text("kind");
    const auto found = std::find(domain::objective_kind_names.begin(),
                                 domain::objective_kind_names.end(), text);
    if (found == domain::objective_kind_names.end())
    {
        reader.reject("kind", "unknown kind of objective");
        return domain::objective_kind::availability;
    }
    return static_cast<domain::objective_kind>(
        found - domain::objective_kind_names.begin());
}

void read_counts(field_reader& reader, domain::burn_sample& sample)
{
    const json& counts = reader.array("counts");
    for (std::size_t index = 0; index < counts.size(); ++index)
    {
        field_reader inner(counts[index], fmt::format("counts[{}]", index),
                           result_code::corrupt_value);
        domain::burn_key key{inner.text("route"), inner.text("account"),
                             read_objective_kind(inner)};
        sample.counts[key] = {inner.integer("events"), inner.integer("bad")};
        reader.adopt_error(inner);
    }
}

} // namespace

std::string encode_sample(const domain::burn_sample& sample)
{
    json counts = json::array();
    for (const auto& [key, value] : sample.counts)
    {
        counts.push_back({{"route", key.route},
                          {"account", key.account},
                          {"kind", name_of(key.kind)},
                          {"events", value.events},
                          {"bad", value.bad}});
    }
    const std::int64_t time_s =
        std::chrono::duration_cast<std::chrono::seconds>(
            sample.time.time_since_epoch())
            .count();
    return json{{"time", time_s},
                {"router", sample.router},
                {"missing", sample.is_missing},
                {"start", sample.start_s},
                {"counts", counts}}
        .dump();
}

result<domain::burn_sample> decode_sample(std::string_view line)
{
    result<json> parsed =
        parse_json(line, result_code::corrupt_value, "history");
    if (!parsed)
    {
        return parsed.failure();
    }
    field_reader reader(parsed.value(), "", result_code::corrupt_value);
    domain::burn_sample sample;
    sample.time = std::chrono::system_clock::time_point(
        std::chrono::seconds(reader.integer("time")));
    sample.router = reader.text("router");
    sample.is_missing = reader.boolean("missing");
    sample.start_s = reader.integer("start");
    read_counts(reader, sample);
    if (reader.first_error())
    {
        return *reader.first_error();
    }
    return sample;
}

} // namespace turmeric::codecs
