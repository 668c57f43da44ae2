#include "libraries/codecs/move/latency_limits_codec.hpp"

namespace turmeric::codecs
{

json to_json(const domain::latency_limits& limits)
{
    return {{"first_token_us", limits.first_token.count()},
            {"token_gap_us", limits.token_gap.count()}};
}

domain::latency_limits read_latency_limits(field_reader& reader,
                                           std::string_view name)
{
    field_reader inner(reader.object(name), reader.path_of(name),
                       result_code::corrupt_value);
    domain::latency_limits limits;
    limits.first_token =
        std::chrono::microseconds(inner.integer("first_token_us"));
    limits.token_gap = std::chrono::microseconds(inner.integer("token_gap_us"));
    reader.adopt_error(inner);
    return limits;
}

} // namespace turmeric::codecs
