#include "libraries/adapters/settings/settings_file.hpp"

#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace turmeric::adapters
{

namespace
{

std::string join(const std::vector<std::string>& parts)
{
    std::string path;
    for (const std::string& part : parts)
    {
        path += part == "<root>" ? "$" : part;
    }
    return path;
}

/// Turns valijson's context, such as `<root>["listen"]["port"]`, into the
/// value that it points at.
const json* find_value(const json& settings,
                       const std::vector<std::string>& context)
{
    const json* value = &settings;
    for (std::size_t i = 1; i < context.size(); ++i)
    {
        // A part is `["name"]` or `[3]`.
        constexpr std::size_t brackets = 2;
        std::string inner = context[i].substr(1, context[i].size() - brackets);
        json key = json::parse(inner, nullptr, false);
        if (key.is_string() && value->is_object() &&
            value->contains(key.get<std::string>()))
        {
            value = &value->at(key.get<std::string>());
        }
        else if (key.is_number_unsigned() && value->is_array() &&
                 key.get<std::size_t>() < value->size())
        {
            value = &value->at(key.get<std::size_t>());
        }
        else
        {
            return nullptr;
        }
    }
    return value;
}

} // namespace

result<json> check_settings(json settings, const json& schema,
                            const std::string& file)
{
    valijson::Schema parsed;
    valijson::SchemaParser parser;
    valijson::adapters::NlohmannJsonAdapter schema_adapter(schema);
    parser.populateSchema(schema_adapter, parsed);

    valijson::Validator validator;
    valijson::ValidationResults results;
    valijson::adapters::NlohmannJsonAdapter adapter(settings);
    if (validator.validate(parsed, adapter, &results))
    {
        return settings;
    }
    // The deepest fault is the most exact one.
    valijson::ValidationResults::Error fault;
    valijson::ValidationResults::Error deepest;
    while (results.popError(fault))
    {
        if (fault.context.size() >= deepest.context.size())
        {
            deepest = fault;
        }
    }
    const json* value = find_value(settings, deepest.context);
    return error{result_code::settings_invalid, join(deepest.context),
                 fmt::format("{}: value {}: {}", file,
                             value == nullptr ? "absent" : value->dump(),
                             deepest.description)};
}

result<json> read_settings(const std::string& file, const json& schema)
{
    std::ifstream stream(file);
    if (!stream)
    {
        return error{result_code::settings_unreadable, file,
                     "the file cannot be opened"};
    }
    std::ostringstream text;
    text << stream.rdbuf();
    try
    {
        return check_settings(json::parse(text.str()), schema, file);
    }
    catch (const json::parse_error& fault)
    {
        return error{result_code::settings_malformed, file, fault.what()};
    }
}

} // namespace turmeric::adapters
