#include "standins/engine/answer_stream.hpp"

#include "standins/common/answer_text.hpp"

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

constexpr const char* event_end = R"("},"finish_reason":null}]})";

} // namespace

answer_stream::answer_stream(chat_request request, std::string id,
                             std::int64_t offset, std::int64_t cached_tokens,
                             int socket)
    : m_request(std::move(request))
    , m_id(std::move(id))
    , m_offset(std::min(offset, m_request.answer_tokens))
    , m_cached_tokens(cached_tokens)
    , m_socket(socket)
    , m_next(m_offset)
{
    m_event_begin = fmt::format(
        R"({{"id":{},"object":"chat.completion.chunk","created":0,)"
        R"("model":{},"choices":[{{"index":0,"delta":{{"content":")",
        json(m_id).dump(), json(m_request.version).dump());
}

const chat_request& answer_stream::request() const
{
    return m_request;
}

int answer_stream::socket() const
{
    return m_socket;
}

std::int64_t answer_stream::left() const
{
    return m_request.answer_tokens - m_next;
}

std::int64_t answer_stream::made() const
{
    return m_next - m_offset;
}

void answer_stream::make_token()
{
    assert(left() > 0);
    std::string text;
    append_token(text, m_request.prompt_digest, m_next);
    ++m_next;
    if (m_request.is_streamed)
    {
        append_event(m_event_begin + text + event_end);
    }
    else
    {
        m_text += text;
    }
    if (left() == 0)
    {
        make_end();
    }
}

void answer_stream::make_end()
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
                       {"usage", show_usage()}};
    append_event(last.dump());
    append_event("[DONE]");
    constexpr const char* last_chunk = "0\r\n\r\n";
    m_out += last_chunk;
}

bool answer_stream::flush()
{
    while (!is_flushed())
    {
        const ssize_t moved =
            ::send(m_socket, m_out.data() + m_sent, m_out.size() - m_sent,
                   MSG_NOSIGNAL | MSG_DONTWAIT);
        if (moved < 0)
        {
            return errno == EAGAIN || errno == EINTR;
        }
        m_sent += static_cast<std::size_t>(moved);
    }
    m_out.clear();
    m_sent = 0;
    return true;
}

bool answer_stream::is_flushed() const
{
    return m_sent == m_out.size();
}

json answer_stream::show_whole() const
{
    const json message = {{"role", "assistant"}, {"content", m_text}};
    const json choice = {
        {"index", 0}, {"message", message}, {"finish_reason", finish_reason()}};
    return {{"id", m_id},
            {"object", "chat.completion"},
            {"created", 0},
            {"model", m_request.version},
            {"choices", json::array({choice})},
            {"usage", show_usage()}};
}

void answer_stream::append_event(const std::string& event)
{
    constexpr std::size_t framing_bytes = 8;
    // One event is one chunk of the chunked transfer coding.
    m_out += fmt::format("{:x}\r\ndata: {}\n\n\r\n",
                         event.size() + framing_bytes, event);
}

json answer_stream::show_usage() const
{
    return {{"prompt_tokens", m_request.prompt_tokens},
            {"completion_tokens", m_next},
            {"total_tokens", m_request.prompt_tokens + m_next},
            {"resumed_tokens", m_offset},
            {"prompt_tokens_details", {{"cached_tokens", m_cached_tokens}}}};
}

const char* answer_stream::finish_reason() const
{
    return m_request.is_cut_by_length ? "length" : "stop";
}

} // namespace turmeric::standins
