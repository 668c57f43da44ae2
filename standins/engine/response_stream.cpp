#include "standins/engine/response_stream.hpp"

#include "standins/common/response_text.hpp"

#include <fmt/core.h>
#include <sys/socket.h>

#include <algorithm>
#include <cassert>
#include <cerrno>
#include <utility>

namespace turmeric::standins
{

namespace
{

constexpr const char* event_suffix = R"("},"finish_reason":null}]})";

} // namespace

response_stream::response_stream(chat_request request, std::string id,
                                 std::int64_t offset,
                                 std::int64_t cached_tokens, int socket)
    : m_request(std::move(request))
    , m_id(std::move(id))
    , m_offset(std::min(offset, m_request.response_tokens))
    , m_cached_tokens(cached_tokens)
    , m_socket(socket)
    , m_next_token(m_offset)
{
    m_event_prefix = fmt::format(
        R"({{"id":{},"object":"chat.completion.chunk","created":0,)"
        R"("model":{},"choices":[{{"index":0,"delta":{{"content":")",
        json(m_id).dump(), json(m_request.version).dump());
}

const chat_request& response_stream::request() const
{
    return m_request;
}

int response_stream::socket() const
{
    return m_socket;
}

std::int64_t response_stream::remaining_tokens() const
{
    return m_request.response_tokens - m_next_token;
}

std::int64_t response_stream::generated_tokens() const
{
    return m_next_token - m_offset;
}

void response_stream::generate_token()
{
    assert(remaining_tokens() > 0);
    std::string text;
    append_token(text, m_request.prompt_digest, m_next_token);
    ++m_next_token;
    if (m_request.is_streamed)
    {
        append_event(m_event_prefix + text + event_suffix);
    }
    else
    {
        m_generated_text += text;
    }
    if (remaining_tokens() == 0)
    {
        append_end();
    }
}

void response_stream::append_end()
{
    if (!m_request.is_streamed)
    {
        return;
    }
    const json choice = {{"index", 0},
                         {"delta", json::object()},
                         {"finish_reason", finish_reason()}};
    const json last = {{"id", m_id},
                       {"object", "chat.completion.chunk"},
                       {"created", 0},
                       {"model", m_request.version},
                       {"choices", json::array({choice})},
                       {"usage", usage_json()}};
    append_event(last.dump());
    append_event("[DONE]");
    constexpr const char* last_chunk = "0\r\n\r\n";
    m_output += last_chunk;
}

bool response_stream::flush()
{
    while (!is_flushed())
    {
        const ssize_t sent_bytes =
            ::send(m_socket, m_output.data() + m_sent_bytes,
                   m_output.size() - m_sent_bytes, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent_bytes < 0)
        {
            return errno == EAGAIN || errno == EINTR;
        }
        m_sent_bytes += static_cast<std::size_t>(sent_bytes);
    }
    m_output.clear();
    m_sent_bytes = 0;
    return true;
}

bool response_stream::is_flushed() const
{
    return m_sent_bytes == m_output.size();
}

json response_stream::completion_json() const
{
    const json message = {{"role", "assistant"}, {"content", m_generated_text}};
    const json choice = {
        {"index", 0}, {"message", message}, {"finish_reason", finish_reason()}};
    return {{"id", m_id},
            {"object", "chat.completion"},
            {"created", 0},
            {"model", m_request.version},
            {"choices", json::array({choice})},
            {"usage", usage_json()}};
}

void response_stream::append_event(const std::string& event)
{
    constexpr std::size_t framing_bytes = 8;
    // Each event is sent as one chunk of the chunked transfer coding.
    m_output += fmt::format("{:x}\r\ndata: {}\n\n\r\n",
                            event.size() + framing_bytes, event);
}

json response_stream::usage_json() const
{
    return {{"prompt_tokens", m_request.prompt_tokens},
            {"completion_tokens", m_next_token},
            {"total_tokens", m_request.prompt_tokens + m_next_token},
            {"resumed_tokens", m_offset},
            {"prompt_tokens_details", {{"cached_tokens", m_cached_tokens}}}};
}

const char* response_stream::finish_reason() const
{
    return m_request.is_limited_by_max_tokens ? "length" : "stop";
}

} // namespace turmeric::standins
