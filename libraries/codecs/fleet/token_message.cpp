#include "libraries/codecs/fleet/token_message.hpp"

#include "libraries/core/json.hpp"

namespace turmeric::codecs
{

std::string write_token_message(const token_message& message)
{
    const json whole = {static_cast<int>(message.kind), message.from,
                        message.number, message.account, message.tokens};
    const std::vector<std::uint8_t> bytes = json::to_cbor(whole);
    return std::string(bytes.begin(), bytes.end());
}

result<token_message> read_token_message(std::string_view bytes)
{
    constexpr std::size_t places = 5;
    const error fault{result_code::peer_protocol, "token message",
                      "a peer's message is not readable"};
    const json whole = json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (!whole.is_array() || whole.size() != places ||
        !whole[0].is_number_integer() || !whole[1].is_string() ||
        !whole[2].is_number_integer() || !whole[3].is_string() ||
        !whole[4].is_number_integer())
    {
        return fault;
    }
    token_message message;
    switch (whole[0].get<int>())
    {
    case static_cast<int>(token_message_kind::request):
        message.kind = token_message_kind::request;
        break;
    case static_cast<int>(token_message_kind::loan):
        message.kind = token_message_kind::loan;
        break;
    default:
        return fault;
    }
    message.from = whole[1].get<std::string>();
    message.number = whole[2].get<std::int64_t>();
    message.account = whole[3].get<std::string>();
    message.tokens = whole[4].get<std::int64_t>();
    if (message.tokens < 0)
    {
        return fault;
    }
    return message;
}

} // namespace turmeric::codecs
