#include "services/router/response_writer.hpp"

#include <chrono>

namespace turmeric::router
{

namespace
{

// While there is no output, a comment event is sent at this interval: the
// failing write shows that the caller has closed the connection.
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

adapters::http_reply make_error_reply(const error& failure,
                                      const std::string& request_id)
{
    adapters::http_reply reply = adapters::make_problem(failure);
    reply.headers.emplace_back("X-Request-Id", request_id);
    return reply;
}

error superseded_error()
{
    return {result_code::duplicate_request, "Idempotency-Key",
            "a newer request with the same id receives the response",
            outcome::outcome_unknown};
}

void add_headers(adapters::http_reply& reply, const std::string& request_id,
                 const drivers::relayed_response_head& head)
{
    reply.headers.emplace_back("X-Request-Id", request_id);
    reply.headers.emplace_back("Turmeric-Version", head.version);
    reply.headers.emplace_back("Turmeric-Upstream", head.upstream);
}

/// The complete text of a response, and its end.
struct complete_response
{
    std::string text;
    drivers::response_end end;
};

result<complete_response> read_complete_response(const response_reader& reader)
{
    complete_response response;
    while (true)
    {
        drivers::response_part part =
            reader.buffer->read(reader.id, keep_alive_interval);
        if (part.is_superseded)
        {
            return superseded_error();
        }
        for (const std::string& piece : part.pieces)
        {
            response.text += piece;
        }
        if (part.failure)
        {
            return *part.failure;
        }
        if (part.end)
        {
            response.end = *part.end;
            return response;
        }
    }
}

/// Writes events to the caller until the response ends, fails, is superseded
/// by a newer reader or the caller has left. Returns true if the complete
/// response was written.
bool write_response(const response_reader& reader,
                    const codecs::response_identity& id,
                    const adapters::http_stream_writer& write)
{
    while (true)
    {
        drivers::response_part part =
            reader.buffer->read(reader.id, keep_alive_interval);
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
                id, make_bill(*part.end, reader.buffer->head()));
        }
        bool is_written = write(events.empty() ? keep_alive_event : events);
        if (!is_written || part.failure || part.end)
        {
            return is_written && part.end.has_value();
        }
    }
}

} // namespace

adapters::http_reply make_streamed_reply(const response_reader& reader,
                                         const codecs::response_identity& id)
{
    std::optional<error> failure = reader.buffer->wait_for_head();
    if (failure)
    {
        return make_error_reply(*failure, id.request_id);
    }
    adapters::http_reply reply;
    reply.content_type = "text/event-stream";
    add_headers(reply, id.request_id, reader.buffer->head());
    reply.headers.emplace_back("Cache-Control", "no-store");
    reply.stream = [reader, id](const adapters::http_stream_writer& write)
    {
        bool is_complete = write_response(reader, id, write);
        if (!is_complete)
        {
            reader.buffer->cancel(reader.id);
        }
        return is_complete;
    };
    return reply;
}

adapters::http_reply make_complete_reply(const response_reader& reader,
                                         const codecs::response_identity& id)
{
    result<complete_response> response = read_complete_response(reader);
    if (!response)
    {
        return make_error_reply(response.failure(), id.request_id);
    }
    constexpr int status_ok = 200;
    drivers::relayed_response_head head = reader.buffer->head();
    codecs::response_bill bill = make_bill(response.value().end, head);
    adapters::http_reply reply = adapters::make_json_reply(
        status_ok,
        codecs::make_complete_response(id, response.value().text, bill));
    add_headers(reply, id.request_id, head);
    reply.headers.emplace_back("Turmeric-Tokens-Billed",
                               std::to_string(bill.billed));
    return reply;
}

adapters::http_reply make_service_reply(const response_reader& reader,
                                        const std::string& request_id)
{
    result<complete_response> response = read_complete_response(reader);
    if (!response)
    {
        return make_error_reply(response.failure(), request_id);
    }
    drivers::relayed_response_head head = reader.buffer->head();
    adapters::http_reply reply;
    reply.status = head.status;
    reply.content_type = head.content_type;
    reply.body = std::move(response.value().text);
    add_headers(reply, request_id, head);
    reply.headers.emplace_back("Turmeric-Tokens-Billed",
                               std::to_string(response.value().end.billed));
    return reply;
}

} // namespace turmeric::router
