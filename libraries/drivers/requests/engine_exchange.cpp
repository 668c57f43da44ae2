#include "libraries/drivers/requests/engine_exchange.hpp"

#include "libraries/drivers/requests/upstream_status.hpp"

#include <cassert>

namespace turmeric::drivers
{

engine_exchange::engine_exchange(const request_context& request)
    : m_request(request)
{
    assert(request.chat);
}

ports::upstream_request
engine_exchange::start_attempt(const std::string& version)
{
    m_reader = codecs::event_stream_reader();
    m_offset = m_assembler.delivered();
    m_has_end_event = false;
    ports::upstream_request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.content_type = "application/json";
    request.body =
        codecs::make_engine_body(*m_request.chat, version, m_request.max_tokens,
                                 m_request.account.priority);
    request.idle_timeout = m_request.route.idle_timeout;
    request.needs_new_connection = !m_request.is_idempotent;
    request.headers.emplace_back("X-Request-Id", m_request.request_id);
    if (!m_request.traceparent.empty())
    {
        request.headers.emplace_back("traceparent", m_request.traceparent);
    }
    if (m_offset > 0)
    {
        request.headers.emplace_back("Resume-Offset", std::to_string(m_offset));
    }
    return request;
}

status engine_exchange::accept_head(const ports::upstream_response_head& head)
{
    constexpr int status_ok = 200;
    return head.status == status_ok ? success()
                                    : error_from_status(head.status);
}

result<std::vector<std::string>> engine_exchange::accept(std::string_view bytes)
{
    result<std::vector<std::string>> events = m_reader.accept(bytes);
    if (!events)
    {
        return events.failure();
    }
    std::vector<std::string> pieces;
    for (const std::string& data : events.value())
    {
        result<codecs::chat_event> event = codecs::parse_chat_event(data);
        if (!event)
        {
            return event.failure();
        }
        status accepted = accept_event(event.value(), pieces);
        if (!accepted)
        {
            return accepted.failure();
        }
    }
    return pieces;
}

result<std::vector<std::string>> engine_exchange::finish_attempt()
{
    if (!m_has_end_event || !m_assembler.is_complete())
    {
        return error{result_code::stream_broken, "upstream",
                     "the response was truncated", outcome::outcome_unknown};
    }
    return std::vector<std::string>();
}

bool engine_exchange::can_resume() const
{
    return true;
}

domain::tokens engine_exchange::delivered() const
{
    return m_assembler.delivered();
}

relayed_response_head engine_exchange::head() const
{
    constexpr int status_ok = 200;
    return {status_ok, "text/event-stream", "", ""};
}

response_end engine_exchange::bill() const
{
    response_end end;
    end.completion_tokens = m_assembler.delivered();
    end.prompt_tokens = m_request.prompt_tokens;
    if (m_usage && m_usage->prompt > 0)
    {
        end.prompt_tokens = m_usage->prompt;
        end.cached_tokens = m_usage->cached;
    }
    end.billed = end.prompt_tokens + end.completion_tokens;
    end.finish_reason = m_finish_reason;
    return end;
}

status engine_exchange::accept_event(const codecs::chat_event& event,
                                     std::vector<std::string>& pieces)
{
    if (!event.text.empty())
    {
        result<std::vector<std::string>> new_pieces =
            m_assembler.accept({m_offset, {event.text}});
        if (!new_pieces)
        {
            return new_pieces.failure();
        }
        ++m_offset;
        pieces.insert(pieces.end(), new_pieces.value().begin(),
                      new_pieces.value().end());
    }
    if (event.finish_reason)
    {
        m_finish_reason = *event.finish_reason;
    }
    if (event.usage)
    {
        m_usage = event.usage;
    }
    if (event.is_end_of_stream)
    {
        m_has_end_event = true;
        return m_assembler.set_total(m_offset);
    }
    return success();
}

} // namespace turmeric::drivers
