#include "libraries/codecs/configuration/configuration_codec.hpp"

#include "libraries/codecs/common/json_reader.hpp"
#include "libraries/codecs/configuration/object_codec.hpp"

namespace turmeric::codecs
{

namespace
{

constexpr const char* kind_key = "kind";

std::string list_key(domain::object_kind kind)
{
    return std::string(name_of(kind)) + 's';
}

template <class Declaration>
json encode_with_kind(const domain::object_list<Declaration>& objects,
                      const Declaration& object)
{
    json encoded = encode_value(object);
    encoded[kind_key] = name_of(objects.kind);
    return encoded;
}

template <class Declaration>
status append_declaration(const json& body, const json_location& location,
                          const domain::object_list<Declaration>& objects,
                          domain::configuration& into)
{
    Declaration decoded{};
    status read = decode_value(body, location, decoded);
    if (!read)
    {
        return read;
    }
    const std::string& name = decoded.*objects.name;
    if (find_object(into, objects, name) != nullptr)
    {
        return unexpected_value(location,
                                "expected one declaration of " +
                                    std::string(name_of(objects.kind)) + " \"" +
                                    name + "\", found a second one");
    }
    (into.*objects.list).push_back(std::move(decoded));
    return success();
}

error corrupt(const std::string& field, const std::string& detail)
{
    return error{result_code::corrupt_value, field, detail};
}

} // namespace

json_location child_location(const json_location& location,
                             std::string_view name)
{
    const std::string separator = location.path.empty() ? "" : ".";
    return {location.code, location.path + separator + std::string(name)};
}

status decode_declaration(const json& from, const std::string& path,
                          domain::configuration& into)
{
    const json_location location{result_code::configuration_invalid, path};
    if (!from.is_object())
    {
        return unexpected_value(location, "expected an object");
    }
    const std::string kind =
        from.contains(kind_key) && from[kind_key].is_string()
            ? from[kind_key].get<std::string>()
            : "";
    json body = from;
    body.erase(kind_key);
    status read = unexpected_value(
        child_location(location, kind_key),
        "expected one of \"account\" \"route\" \"upstream\" \"move\" \"vm\"");
    domain::visit_object_lists(
        [&](const auto& objects)
        {
            if (kind == name_of(objects.kind))
            {
                read = append_declaration(body, location, objects, into);
            }
        });
    return read;
}

json encode_declarations(const domain::configuration& from)
{
    json declarations = json::array();
    domain::visit_object_lists(
        [&](const auto& objects)
        {
            for (const auto& object : from.*objects.list)
            {
                declarations.push_back(encode_with_kind(objects, object));
            }
        });
    return declarations;
}

json encode_declaration(const domain::configuration& from,
                        domain::object_kind kind, const std::string& name)
{
    json encoded;
    domain::visit_object_lists(
        [&](const auto& objects)
        {
            const auto* found = find_object(from, objects, name);
            if (kind == objects.kind && found != nullptr)
            {
                encoded = encode_with_kind(objects, *found);
            }
        });
    return encoded;
}

result<std::string> encode_part(const domain::configuration_part& part)
{
    json encoded = json::object();
    domain::visit_object_lists(
        [&](const auto& objects)
        {
            const auto& list = part.content.*objects.list;
            if (!list.empty())
            {
                encoded[list_key(objects.kind)] = encode_value(list);
            }
        });
    std::string text = encoded.dump();
    if (text.size() > domain::max_part_bytes)
    {
        return error{result_code::platform_value_too_large, part.name,
                     "the part has " + std::to_string(text.size()) +
                         " bytes; the limit is " +
                         std::to_string(domain::max_part_bytes) + " bytes"};
    }
    return text;
}

result<domain::configuration> decode_part(std::string_view text,
                                          const std::string& name)
{
    result<json> parsed = parse_json(text, result_code::corrupt_value, name);
    if (!parsed)
    {
        return parsed.failure();
    }
    if (!parsed.value().is_object())
    {
        return corrupt(name, "expected an object");
    }
    domain::configuration content;
    std::size_t lists_read = 0;
    status read = success();
    domain::visit_object_lists(
        [&](const auto& objects)
        {
            auto found = parsed.value().find(list_key(objects.kind));
            if (found == parsed.value().end() || !read)
            {
                return;
            }
            ++lists_read;
            const json_location location{result_code::corrupt_value,
                                         name + '.' + list_key(objects.kind)};
            read = decode_value(*found, location, content.*objects.list);
        });
    if (!read)
    {
        return read.failure();
    }
    if (lists_read != parsed.value().size())
    {
        return corrupt(name, "expected only known lists of objects");
    }
    return content;
}

std::string encode_head(const domain::configuration_head& head)
{
    const json encoded = {{"version", head.version},
                          {"parts", head.parts},
                          {"writer", head.writer},
                          {"operation", head.operation},
                          {"previous", head.previous}};
    return encoded.dump();
}

result<domain::configuration_head> decode_head(std::string_view text)
{
    const std::string path = "live/configuration";
    result<json> parsed = parse_json(text, result_code::corrupt_value, path);
    if (!parsed)
    {
        return parsed.failure();
    }
    const json& from = parsed.value();
    if (!from.is_object() || !from.contains("parts") ||
        !from["parts"].is_object())
    {
        return corrupt(
            path,
            "expected an object with a field \"parts\" that is an object");
    }
    domain::configuration_head head;
    const auto read = [&](const char* name, auto& into)
    {
        return decode_value(from.value(name, json()),
                            {result_code::corrupt_value, path + '.' + name},
                            into);
    };
    const std::string parts_path = path + ".parts.";
    for (const auto& [name, digest] : from["parts"].items())
    {
        if (!digest.is_string())
        {
            return corrupt(parts_path + name,
                           "expected a digest, which is a string");
        }
        head.parts[name] = digest.get<std::string>();
    }
    status outcome = read("version", head.version);
    outcome = outcome ? read("writer", head.writer) : outcome;
    outcome = outcome ? read("operation", head.operation) : outcome;
    outcome = outcome ? read("previous", head.previous) : outcome;
    if (!outcome)
    {
        return outcome.failure();
    }
    return head;
}

result<domain::configuration>
assemble_configuration(const domain::configuration_head& head,
                       const domain::part_texts& texts)
{
    std::vector<domain::configuration_part> parts;
    for (const auto& [name, digest] : head.parts)
    {
        result<domain::configuration> content =
            decode_part(texts.at(digest), name);
        if (!content)
        {
            return content.failure();
        }
        parts.push_back({name, std::move(content.value())});
    }
    return domain::join_configuration(head.version, parts);
}

} // namespace turmeric::codecs
