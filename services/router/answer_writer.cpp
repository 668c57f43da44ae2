#include "services/router/answer_writer.hpp"

#include <chrono>

namespace turmeric::router
{

namespace
{

// A comment event this often finds callers that closed in silence.
constexpr std::chrono::seconds keep_alive_interval{1};
constexpr std::string_view keep_alive_event = ": keep-alive\n\n";

codecs::response_bill make_bill(const drivers::response_end& end,
                                const drivers::relayed_response_head& head)
{
    codecs::response_bill bill;
    bill.usage = {end.prompt_tokens, end.completion_tokens, end.cached_tokens};
    bill.billed = end.billed;
    bill.version = head.version;
    bill.upstream = head.upstream;
    bill.finish_reason = end.finish_reason.empty() ? "stop" : end.finish_reason;
    return bill;
}

adapters::http_reply make_refusal(const error& failure,
                                  const std::string& request_id)
{
    adapters::http_reply reply = adapters::make_problem(failure);
    reply.headers.emplace_back("X-Request-Id", request_id);
    return reply;
}

error superseded()
{
    return {result_code::duplicate_request, "Idempotency-Key",
            "a newer call with the same id reads the answer",
            outcome::outcome_unknown};
}

void add_headers(adapters::http_reply& reply, const std::string& request_id,
                 const drivers::relayed_response_head& head)
{
    reply.headers.emplace_back("X-Request-Id", request_id);
    reply.headers.emplace_back("Turmeric-Version", head.version);
    reply.headers.emplace_back("Turmeric-Upstream", head.upstream);
}

/// An answer read to its end.
struct whole_answer
{
    std::string text;
    drivers::response_end end;
};

result<whole_answer> read_whole(const answer_reader& from)
{
    whole_answer answer;
    while (true)
    {
        drivers::response_part part =
            from.buffer->read(from.reader, keep_alive_interval);
        if (part.is_superseded)
        {
            return superseded();
        }
        for (const std::string& piece : part.pieces)
        {
            answer.text += piece;
        }
        if (part.failure)
        {
            return *part.failure;
        }
        if (part.end)
        {
            answer.end = *part.end;
            return answer;
        }
    }
}

/// Writes what a reader gets next. Returns true when the answer is whole.
bool write_answer(const answer_reader& from,
                  const codecs::response_identity& id,
                  const adapters::http_stream_writer& write)
{
    while (true)
    {
        drivers::response_part part =
            from.buffer->read(from.reader, keep_alive_interval);
        if (part.is_superseded)
        {
            return false;
        }
        std::string events;
        for (const std::string& piece : part.pieces)
        {
            events += codecs::make_text_event(id, piece);
        }
        if (part.failure)
        {
            events += codecs::make_error_event(*part.failure);
        }
        if (part.end)
        {
            events += codecs::make_final_events(
                id, make_bill(*part.end, from.buffer->head()));
        }
        bool is_written = write(events.empty() ? keep_alive_event : events);
        if (!is_written || part.failure || part.end)
        {
            return is_written && part.end.has_value();
        }
    }
}

} // namespace

adapters::http_reply make_streamed_reply(const answer_reader& from,
                                         const codecs::response_identity& id)
{
    std::optional<error> failure = from.buffer->wait_for_head();
    if (failure)
    {
        return make_refusal(*failure, id.request_id);
    }
    adapters::http_reply reply;
    reply.content_type = "text/event-stream";
    add_headers(reply, id.request_id, from.buffer->head());
    reply.headers.emplace_back("Cache-Control", "no-store");
    reply.stream = [from, id](const adapters::http_stream_writer& write)
    {
        bool is_whole = write_answer(from, id, write);
        if (!is_whole)
        {
            from.buffer->cancel(from.reader);
        }
        return is_whole;
    };
    return reply;
}

adapters::http_reply make_whole_reply(const answer_reader& from,
                                      const codecs::response_identity& id)
{
    result<whole_answer> answer = read_whole(from);
    if (!answer)
    {
        return make_refusal(answer.failure(), id.request_id);
    }
    constexpr int status_ok = 200;
    drivers::relayed_response_head head = from.buffer->head();
    codecs::response_bill bill = make_bill(answer.value().end, head);
    adapters::http_reply reply = adapters::make_json_reply(
        status_ok,
        codecs::make_complete_response(id, answer.value().text, bill));
    add_headers(reply, id.request_id, head);
    reply.headers.emplace_back("Turmeric-Tokens-Billed",
                               std::to_string(bill.billed));
    return reply;
}

adapters::http_reply make_service_reply(const answer_reader& from,
                                        const std::string& request_id)
{
    result<whole_answer> answer = read_whole(from);
    if (!answer)
    {
        return make_refusal(answer.failure(), request_id);
    }
    drivers::relayed_response_head head = from.buffer->head();
    adapters::http_reply reply;
    reply.status = head.status;
    reply.content_type = head.content_type;
    reply.body = std::move(answer.value().text);
    add_headers(reply, request_id, head);
    reply.headers.emplace_back("Turmeric-Tokens-Billed",
                               std::to_string(answer.value().end.billed));
    return reply;
}

} // namespace turmeric::router
