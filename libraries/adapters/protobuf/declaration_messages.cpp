#include "libraries/adapters/protobuf/declaration_messages.hpp"

#include "libraries/adapters/protobuf/message_body.hpp"
#include "libraries/codecs/configuration/configuration_codec.hpp"

#include <operator.pb.h>

namespace turmeric::adapters
{

namespace
{

constexpr const char* kind_field = "kind";

} // namespace

result<domain::declaration_set>
read_declarations(const declaration_messages& messages)
{
    domain::declaration_set declared;
    int index = 0;
    for (const turmericfront::v1::Declaration& message : messages)
    {
        const std::string path = "declarations[" + std::to_string(index) + ']';
        status read = codecs::decode_declaration(message_to_file_form(message),
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
        // The schema has every field of the codec, which a test holds to.
        (void)file_form_to_message(declaration, *into.Add());
    }
}

status file_form_to_message(const json& from,
                            turmericfront::v1::Declaration& into)
{
    json body = from;
    body.erase(kind_field);
    const json wrapped = {{from.value(kind_field, ""), std::move(body)}};
    return json_to_message(wrapped, into);
}

json message_to_file_form(const turmericfront::v1::Declaration& message)
{
    const json wrapped = message_to_json(message);
    if (!wrapped.is_object() || wrapped.empty())
    {
        return json::object();
    }
    json form = wrapped.begin().value();
    form[kind_field] = wrapped.begin().key();
    return form;
}

} // namespace turmeric::adapters
