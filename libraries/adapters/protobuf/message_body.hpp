#pragma once

#include "libraries/core/json.hpp"
#include "libraries/core/result.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace google::protobuf
{
class Message;
} // namespace google::protobuf

namespace turmeric::adapters
{

/// The encoding of a message in an HTTP body.
enum class body_format : std::uint8_t
{
    json,
    binary,
};

/// Returns the format of a content type, ignoring its parameters, or nullopt if
/// it is neither "application/json" nor "application/proto".
/// Thread safe.
[[nodiscard]] std::optional<body_format>
body_format_of(std::string_view content_type);

/// Returns the content type of a format. Thread safe.
[[nodiscard]] std::string_view content_type_of(body_format format);

/// Parses a message. An empty JSON body gives an empty message. Errors:
/// `malformed_body`. Thread safe for different messages.
status parse_message_body(std::string_view body, body_format format,
                          google::protobuf::Message& into);

/// Serializes a message. In JSON, fields have the names of the schema, and
/// 64-bit integers are strings. Thread safe.
[[nodiscard]] std::string
serialize_message_body(const google::protobuf::Message& message,
                       body_format format);

/// Returns a message in JSON without the fields that are not set. Thread
/// safe.
[[nodiscard]] json message_to_json(const google::protobuf::Message& message);

/// Parses a message from JSON. Errors: `malformed_body`. Thread safe for
/// different messages.
status json_to_message(const json& from, google::protobuf::Message& into);

} // namespace turmeric::adapters
