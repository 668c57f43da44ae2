#include "libraries/adapters/settings/settings_file.hpp"

#include <charconv>
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

/// Removes the brackets around an element of valijson's context, such as
/// `[port]`.
std::string strip_brackets(const std::string& part)
{
    constexpr std::size_t brackets = 2;
    return part.substr(1, part.size() - brackets);
}

const json* find_child(const json& parent, const std::string& name)
{
    if (parent.is_object())
    {
        auto found = parent.find(name);
        return found == parent.end() ? nullptr : &*found;
    }
    if (!parent.is_array())
    {
        return nullptr;
    }
    std::size_t index = 0;
    std::from_chars_result read =
        std::from_chars(name.data(), name.data() + name.size(), index);
    bool is_found = read.ec == std::errc() && index < parent.size();
    return is_found ? &parent.at(index) : nullptr;
}

/// The path of an invalid value, and the value; null if it is absent.
struct error_location
{
    std::string path = "$";
    const json* value = nullptr;
};

error_location find_location(const json& settings,
                             const std::vector<std::string>& context)
{
    error_location location;
    location.value = &settings;
    // The first element is the root.
    for (std::size_t i = 1; i < context.size(); ++i)
    {
        std::string name = strip_brackets(context[i]);
        bool is_index = location.value != nullptr && location.value->is_array();
        location.path += is_index ? "[" + name + "]" : "." + name;
        location.value = location.value == nullptr
                             ? nullptr
                             : find_child(*location.value, name);
    }
    return location;
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
    // Of several errors the one with the longest path is the most specific.
    valijson::ValidationResults::Error validation_error;
    valijson::ValidationResults::Error deepest;
    while (results.popError(validation_error))
    {
        if (validation_error.context.size() >= deepest.context.size())
        {
            deepest = validation_error;
        }
    }
    error_location location = find_location(settings, deepest.context);
    return error{result_code::settings_invalid, location.path,
                 fmt::format("{}: value {}: {}", file,
                             location.value == nullptr ? "absent"
                                                       : location.value->dump(),
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
    // A number out of range is no parse_error.
    catch (const json::exception& exception)
    {
        return error{result_code::settings_malformed, file, exception.what()};
    }
}

} // namespace turmeric::adapters
