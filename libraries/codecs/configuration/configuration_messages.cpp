#include "libraries/codecs/configuration/configuration_messages.hpp"

#include "libraries/codecs/common/json_reader.hpp"
#include "libraries/codecs/configuration/configuration_codec.hpp"
#include "libraries/codecs/configuration/object_codec.hpp"

namespace turmeric::codecs
{

namespace
{

constexpr const char* document_name = "configuration";

result<json> parse_object(std::string_view text)
{
    result<json> parsed =
        parse_json(text, result_code::peer_protocol, document_name);
    if (parsed && !parsed.value().is_object())
    {
        return error{result_code::peer_protocol, document_name,
                     "expected an object"};
    }
    return parsed;
}

template <class Member>
status read_member(const json& from, const char* name, Member& into)
{
    const json_location location{result_code::peer_protocol,
                                 std::string(document_name) + '.' + name};
    return decode_value(from.value(name, json()), location, into);
}

std::vector<std::string>
requested_digests(const configuration_request& request,
                  const domain::configuration_head& head)
{
    std::vector<std::string> requested = request.wanted_parts;
    if (requested.empty() && request.version < head.version)
    {
        for (const auto& [name, digest] : head.parts)
        {
            requested.push_back(digest);
        }
    }
    return requested;
}

} // namespace

std::string encode_configuration_request(const configuration_request& request)
{
    const json encoded = {{"version", request.version},
                          {"wanted_parts", request.wanted_parts}};
    return encoded.dump();
}

result<configuration_request>
decode_configuration_request(std::string_view text)
{
    result<json> parsed = parse_object(text);
    if (!parsed)
    {
        return parsed.failure();
    }
    configuration_request request;
    status read = read_member(parsed.value(), "version", request.version);
    read =
        read ? read_member(parsed.value(), "wanted_parts", request.wanted_parts)
             : read;
    if (!read)
    {
        return read.failure();
    }
    return request;
}

std::string
encode_configuration_response(const configuration_response& response)
{
    json encoded = {{"parts", response.parts}};
    if (response.head)
    {
        encoded["head"] = encode_head(*response.head);
    }
    return encoded.dump();
}

result<configuration_response>
decode_configuration_response(std::string_view text)
{
    result<json> parsed = parse_object(text);
    if (!parsed)
    {
        return parsed.failure();
    }
    configuration_response response;
    status read = read_member(parsed.value(), "parts", response.parts);
    if (!read)
    {
        return read.failure();
    }
    if (!parsed.value().contains("head"))
    {
        return response;
    }
    std::string head_text;
    read = read_member(parsed.value(), "head", head_text);
    if (!read)
    {
        return read.failure();
    }
    result<domain::configuration_head> head = decode_head(head_text);
    if (!head)
    {
        return error{result_code::peer_protocol, head.failure().field,
                     head.failure().detail};
    }
    response.head = std::move(head.value());
    return response;
}

configuration_response
make_configuration_response(const configuration_request& request,
                            const domain::configuration_head& head,
                            const domain::part_texts& parts)
{
    configuration_response response;
    if (request.version < head.version)
    {
        response.head = head;
    }
    std::size_t bytes = 0;
    for (const std::string& digest : requested_digests(request, head))
    {
        auto found = parts.find(digest);
        if (found == parts.end())
        {
            continue;
        }
        bytes += found->second.size();
        if (bytes > max_response_parts_bytes && !response.parts.empty())
        {
            break;
        }
        response.parts.push_back(found->second);
    }
    return response;
}

} // namespace turmeric::codecs
