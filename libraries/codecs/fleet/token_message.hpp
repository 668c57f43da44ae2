#pragma once

#include "libraries/core/result.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace turmeric::codecs
{

/// What a message about lent tokens says.
enum class token_message_kind : std::uint8_t
{
    /// `from` asks for `tokens` of an account.
    request = 2,
    /// `from` hands over `tokens`, which it spends no more.
    loan = 3,
};

/// One message between two routers about prepaid tokens.
struct token_message
{
    token_message_kind kind = token_message_kind::request;
    std::string sender;
    /// Chosen by the asker; a loan repeats it and is taken once.
    std::int64_t request_number = 0;
    std::string account;
    std::int64_t tokens = 0;
};

/// Writes a message as CBOR. Thread safe.
[[nodiscard]] std::string write_token_message(const token_message& message);

/// Reads a message. Errors: `peer_protocol`, also for a digest. Thread safe.
[[nodiscard]] result<token_message> read_token_message(std::string_view bytes);

} // namespace turmeric::codecs
