#include "libraries/codecs/common/json_reader.hpp"

#include <string>

namespace turmeric::codecs
{

result<json> parse_json(std::string_view text, result_code code,
                        std::string_view field)
{
    constexpr bool allows_exceptions = false;
    json parsed = json::parse(text, nullptr, allows_exceptions);
    if (parsed.is_discarded())
    {
        return error{code, std::string(field), "not valid JSON"};
    }
    return parsed;
}

} // namespace turmeric::codecs
