#include "libraries/adapters/protobuf/message_body.hpp"

#include <google/protobuf/message.h>
#include <google/protobuf/util/json_util.h>

namespace turmeric::adapters
{

namespace
{

constexpr std::string_view json_type = "application/json";
constexpr std::string_view binary_type = "application/proto";

error malformed_body_error(const std::string& detail)
{
    return error{result_code::malformed_body, "", detail};
}

std::string to_json_text(const google::protobuf::Message& message,
                         bool includes_defaults)
{
    google::protobuf::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    options.always_print_primitive_fields = includes_defaults;
    std::string text;
    // Fails only for invalid UTF-8, which parsing has already rejected.
    (void)google::protobuf::util::MessageToJsonString(message, &text, options);
    return text;
}

status from_json_text(std::string_view text, google::protobuf::Message& into)
{
    const google::protobuf::util::Status parsed =
        google::protobuf::util::JsonStringToMessage(
            google::protobuf::StringPiece(text.data(), text.size()), &into);
    if (!parsed.ok())
    {
        return malformed_body_error(std::string(parsed.message()));
    }
    return success();
}

} // namespace

std::optional<body_format> body_format_of(std::string_view content_type)
{
    std::string_view type = content_type.substr(0, content_type.find(';'));
    while (!type.empty() && type.back() == ' ')
    {
        type.remove_suffix(1);
    }
    if (type == json_type)
    {
        return body_format::json;
    }
    if (type == binary_type)
    {
        return body_format::binary;
    }
    return std::nullopt;
}

std::string_view content_type_of(body_format format)
{
    return format == body_format::json ? json_type : binary_type;
}

status parse_message_body(std::string_view body, body_format format,
                          google::protobuf::Message& into)
{
    if (format == body_format::json)
    {
        return body.empty() ? success() : from_json_text(body, into);
    }
    const int size = static_cast<int>(body.size());
    if (!into.ParseFromArray(body.data(), size))
    {
        return malformed_body_error("expected a " + into.GetTypeName() +
                                    " in protobuf's binary format");
    }
    return success();
}

std::string serialize_message_body(const google::protobuf::Message& message,
                                   body_format format)
{
    constexpr bool includes_defaults = true;
    return format == body_format::json
               ? to_json_text(message, includes_defaults)
               : message.SerializeAsString();
}

json message_to_json(const google::protobuf::Message& message)
{
    constexpr bool includes_defaults = false;
    constexpr bool allows_exceptions = false;
    return json::parse(to_json_text(message, includes_defaults), nullptr,
                       allows_exceptions);
}

status json_to_message(const json& from, google::protobuf::Message& into)
{
    return from_json_text(from.dump(), into);
}

} // namespace turmeric::adapters
