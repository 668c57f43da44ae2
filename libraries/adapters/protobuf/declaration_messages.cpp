#include "libraries/adapters/protobuf/declaration_messages.hpp"

#include "libraries/adapters/protobuf/message_body.hpp"
#include "libraries/codecs/configuration/configuration_codec.hpp"

#include <operator.pb.h>

namespace turmeric::adapters
{

namespace
{

constexpr const char* kind_key = "kind";

} // namespace

result<domain::declaration_set>
read_declarations(const declaration_messages& messages)
{
    domain::declaration_set declared;
    int index = 0;
    for (const turmericfront::v1::Declaration& message : messages)
    {
        const std::string path = "declarations[" + std::to_string(index) + ']';
        status read = codecs::decode_declaration(declaration_to_json(message),
                                                 path, declared.objects);
        if (!read)
        {
            return read.failure();
        }
        if (message.has_upstream() && !message.upstream().has_state())
        {
            declared.upstreams_without_state.insert(message.upstream().name());
        }
        ++index;
    }
    return declared;
}

void write_declarations(const domain::configuration& from,
                        declaration_messages& into)
{
    for (const json& declaration : codecs::encode_declarations(from))
    {
        // Cannot fail: the schema has every field that the codec writes, which
        // a test checks.
        (void)declaration_from_json(declaration, *into.Add());
    }
}

status declaration_from_json(const json& from,
                             turmericfront::v1::Declaration& into)
{
    json body = from;
    body.erase(kind_key);
    const json message_json = {{from.value(kind_key, ""), std::move(body)}};
    return json_to_message(message_json, into);
}

json declaration_to_json(const turmericfront::v1::Declaration& message)
{
    const json message_json = message_to_json(message);
    if (!message_json.is_object() || message_json.empty())
    {
        return json::object();
    }
    json declaration = message_json.begin().value();
    declaration[kind_key] = message_json.begin().key();
    return declaration;
}

} // namespace turmeric::adapters
