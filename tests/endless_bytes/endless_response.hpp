#pragma once

#include "libraries/ports/upstream_transport.hpp"

#include <array>
#include <cstdint>
#include <string>

namespace turmeric::tests
{

/// What a call makes of a response whose bytes never end.
enum class endless_effect : std::uint8_t
{
    /// No head arrives, so the call fails as unreadable.
    unreadable,
    /// The framing of the body breaks, so the call fails as broken.
    broken,
    /// The body arrives part by part, for as long as the listener reads.
    endless_body,
};

/// A response whose bytes never end.
struct endless_response
{
    const char* name;
    std::string beginning;
    /// What follows again and again.
    std::string repeated;
    endless_effect effect;
};

/// Returns responses that never end, in each place of a response.
inline std::array<endless_response, 17> make_endless_responses()
{
    using enum endless_effect;
    const std::string bytes(4'096, 'x');
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string length = "Content-Length: 1000000000000000000\r\n\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    const std::string other = "X-Request-Id: other\r\n";
    const std::string chunk = "2\r\nab\r\n";
    return {{
        {"no HTTP", "", bytes, unreadable},
        {"empty lines", "", "\r\n\r\n\r\n\r\n", unreadable},
        {"a status line", "HTTP/1.1 200 ", bytes, unreadable},
        {"a header line", head + "X-Filler: ", bytes, unreadable},
        {"header lines", head, "X-Filler: x\r\n", unreadable},
        {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", unreadable},
        {"responses to another request", "",
         head + other + "Content-Length: 1\r\n\r\nx", unreadable},
        {"the body of a response to another request", head + other + length,
         bytes, unreadable},
        {"a body of a huge length", head + length, bytes, endless_body},
        {"a body without a length", head + "\r\n", bytes, endless_body},
        {"a failure's body", "HTTP/1.1 500 X\r\n" + length, bytes,
         endless_body},
        {"a refusal's body", "HTTP/1.1 429 X\r\nX-Not-Executed: 1\r\n" + length,
         bytes, endless_body},
        {"chunks", head + chunked, chunk, endless_body},
        {"a chunk of a huge size", head + chunked + "FFFFFFFFFFFFFFF\r\n",
         bytes, endless_body},
        {"a chunk size", head + chunked + chunk, "0000", broken},
        {"a chunk extension", head + chunked + chunk + "2;", bytes, broken},
        {"trailers", head + chunked + chunk + "0\r\n", "X-Filler: x\r\n",
         broken},
    }};
}

} // namespace turmeric::tests
