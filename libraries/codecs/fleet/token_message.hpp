#pragma once

#include "libraries/core/result.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace turmeric::codecs
{

/// The kinds of messages about token loans.
enum class token_message_kind : std::uint8_t
{
    /// `sender` requests a loan of `tokens` of an account.
    request = 2,
    /// `sender` lends `tokens` and no longer spends them itself.
    loan = 3,
};

/// A message between two routers about a loan of prepaid tokens.
struct token_message
{
    token_message_kind kind = token_message_kind::request;
    std::string sender;
    /// Chosen by the router that requests the loan. The loan repeats the
    /// number, so that the router accepts the loan for a request only once.
    std::int64_t request_number = 0;
    std::string account;
    std::int64_t tokens = 0;
};

/// Encodes a message as CBOR. Thread safe.
[[nodiscard]] std::string write_token_message(const token_message& message);

/// Decodes a message. Errors: `peer_protocol`, also if the bytes are a
/// `peer_digest`. Thread safe.
[[nodiscard]] result<token_message> read_token_message(std::string_view bytes);

} // namespace turmeric::codecs
