#include "libraries/adapters/asio/http_serialization.hpp"

#include <fmt/format.h>

namespace turmeric::adapters
{

namespace
{

namespace http = boost::beast::http;

ports::header_fields header_fields_of(const http::fields& received)
{
    ports::header_fields fields;
    for (const auto& field : received)
    {
        fields.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    }
    return fields;
}

} // namespace

ports::request_head head_of(const http::request_header<>& message)
{
    return {std::string(message.method_string()), std::string(message.target()),
            header_fields_of(message)};
}

ports::response_head head_of(const http::response_header<>& message)
{
    return {static_cast<int>(message.result_int()),
            std::string(message.reason()), header_fields_of(message)};
}

std::string format_response_head(const ports::response_head& head,
                                 body_framing framing, std::size_t body_length,
                                 bool is_keep_alive,
                                 std::chrono::milliseconds idle_timeout)
{
    fmt::memory_buffer out;
    fmt::format_to(std::back_inserter(out), "HTTP/1.1 {} {}\r\n", head.status,
                   head.reason);
    for (const ports::header_field& field : head.fields)
    {
        fmt::format_to(std::back_inserter(out), "{}: {}\r\n", field.name,
                       field.value);
    }
    if (framing == body_framing::content_length)
    {
        fmt::format_to(std::back_inserter(out), "Content-Length: {}\r\n",
                       body_length);
    }
    if (framing == body_framing::chunked)
    {
        fmt::format_to(std::back_inserter(out),
                       "Transfer-Encoding: chunked\r\n");
    }
    if (!is_keep_alive)
    {
        fmt::format_to(std::back_inserter(out), "Connection: close\r\n");
    }
    else
    {
        const std::int64_t seconds =
            std::chrono::duration_cast<std::chrono::seconds>(idle_timeout)
                .count();
        fmt::format_to(std::back_inserter(out), "Keep-Alive: timeout={}\r\n",
                       seconds);
    }
    fmt::format_to(std::back_inserter(out), "\r\n");
    return fmt::to_string(out);
}

std::string format_chunk(const std::string& part)
{
    return fmt::format("{:x}\r\n{}\r\n", part.size(), part);
}

} // namespace turmeric::adapters
