#include "libraries/codecs/fleet/token_message.hpp"

#include "libraries/codecs/common/cbor_reader.hpp"
#include "libraries/core/json.hpp"

namespace turmeric::codecs
{

std::string write_token_message(const token_message& message)
{
    const json encoded = {static_cast<int>(message.kind), message.sender,
                          message.request_number, message.account,
                          message.tokens};
    const std::vector<std::uint8_t> bytes = json::to_cbor(encoded);
    return std::string(bytes.begin(), bytes.end());
}

result<token_message> read_token_message(std::string_view bytes)
{
    constexpr std::size_t element_count = 5;
    const error unreadable{result_code::peer_protocol, "token message",
                           "the token message of a peer is malformed"};
    const json encoded = read_cbor(bytes);
    if (!encoded.is_array() || encoded.size() != element_count ||
        !encoded[0].is_number_integer() || !encoded[1].is_string() ||
        !encoded[2].is_number_integer() || !encoded[3].is_string() ||
        !encoded[4].is_number_integer())
    {
        return unreadable;
    }
    token_message message;
    switch (encoded[0].get<int>())
    {
    case static_cast<int>(token_message_kind::request):
        message.kind = token_message_kind::request;
        break;
    case static_cast<int>(token_message_kind::loan):
        message.kind = token_message_kind::loan;
        break;
    default:
        return unreadable;
    }
    message.sender = encoded[1].get<std::string>();
    message.request_number = encoded[2].get<std::int64_t>();
    message.account = encoded[3].get<std::string>();
    message.tokens = encoded[4].get<std::int64_t>();
    if (message.tokens < 0)
    {
        return unreadable;
    }
    return message;
}

} // namespace turmeric::codecs
