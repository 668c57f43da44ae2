#include "libraries/codecs/common/json_reader.hpp"

#include <string>

namespace turmeric::codecs
{

result<json> parse_json(std::string_view text, result_code code,
                        std::string_view field, document_limits limits)
{
    // The library parses any depth, but copies and writes a value by functions
    // that call themselves for each level.
    limit_checker checker(limits);
    const bool is_valid = json::sax_parse(text.begin(), text.end(), &checker);
    if (checker.is_exceeded())
    {
        return error{code, std::string(field),
                     "JSON nested too deeply or of too many values"};
    }
    if (!is_valid)
    {
        return error{code, std::string(field), "not valid JSON"};
    }
    constexpr bool allows_exceptions = false;
    return json::parse(text, nullptr, allows_exceptions);
}

} // namespace turmeric::codecs
