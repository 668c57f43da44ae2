#pragma once

#include "libraries/ports/http_message.hpp"

#include <utility>

#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmeric::adapters
{

/// Returns the head of a parsed request. Thread safe.
[[nodiscard]] ports::request_head
head_of(const boost::beast::http::request_header<>& message);

/// Returns the head of a parsed response. Thread safe.
[[nodiscard]] ports::response_head
head_of(const boost::beast::http::response_header<>& message);

/// How the end of a response's body is delimited.
enum class body_framing : std::uint8_t
{
    content_length,
    chunked,
    until_close,
};

/// Returns the head of a response as bytes to send, with the fields for framing
/// and keep-alive added. `body_length` is used only with
/// `body_framing::content_length`, and `idle_timeout`, in full seconds, only
/// with `is_keep_alive`. Thread safe.
[[nodiscard]] std::string
format_response_head(const ports::response_head& head, body_framing framing,
                     std::size_t body_length, bool is_keep_alive,
                     std::chrono::milliseconds idle_timeout);

/// Returns one chunk of a chunked body. Precondition: `part` is not empty,
/// since an empty chunk ends the body. Thread safe.
[[nodiscard]] std::string format_chunk(const std::string& part);

/// The chunk that ends a chunked body.
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace turmeric::adapters
