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

adapters::http_response make_error_response(const error& failure,
                                            const std::string& request_id)
{
    adapters::http_response response = adapters::make_problem(failure);
    response.headers.emplace_back("X-Request-Id", request_id);
    return response;
}

error superseded_error()
{
    return {result_code::duplicate_request, "Idempotency-Key",
            "a newer request with the same id receives the response",
            outcome::outcome_unknown};
}

void add_headers(adapters::http_response& response,
                 const std::string& request_id,
                 const drivers::relayed_response_head& head)
{
    response.headers.emplace_back("X-Request-Id", request_id);
    response.headers.emplace_back("Turmeric-Version", head.version);
    response.headers.emplace_back("Turmeric-Upstream", head.upstream);
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

adapters::http_response
make_streamed_response(const response_reader& reader,
                       const codecs::response_identity& id)
{
    std::optional<error> failure = reader.buffer->wait_for_head();
    if (failure)
    {
        return make_error_response(*failure, id.request_id);
    }
    adapters::http_response response;
    response.content_type = "text/event-stream";
    add_headers(response, id.request_id, reader.buffer->head());
    response.headers.emplace_back("Cache-Control", "no-store");
    response.stream = [reader, id](const adapters::http_stream_writer& write)
    {
        bool is_complete = write_response(reader, id, write);
        if (!is_complete)
        {
            reader.buffer->cancel(reader.id);
        }
        return is_complete;
    };
    return response;
}

adapters::http_response make_chat_response(const response_reader& reader,
                                           const codecs::response_identity& id)
{
    result<complete_response> complete = read_complete_response(reader);
    if (!complete)
    {
        return make_error_response(complete.failure(), id.request_id);
    }
    constexpr int status_ok = 200;
    drivers::relayed_response_head head = reader.buffer->head();
    codecs::response_bill bill = make_bill(complete.value().end, head);
    adapters::http_response response = adapters::make_json_response(
        status_ok,
        codecs::make_complete_response(id, complete.value().text, bill));
    add_headers(response, id.request_id, head);
    response.headers.emplace_back("Turmeric-Tokens-Billed",
                                  std::to_string(bill.billed));
    return response;
}

adapters::http_response make_service_response(const response_reader& reader,
                                              const std::string& request_id)
{
    result<complete_response> complete = read_complete_response(reader);
    if (!complete)
    {
        return make_error_response(complete.failure(), request_id);
    }
    drivers::relayed_response_head head = reader.buffer->head();
    adapters::http_response response;
    response.status = head.status;
    response.content_type = head.content_type;
    response.body = std::move(complete.value().text);
    add_headers(response, request_id, head);
    response.headers.emplace_back("Turmeric-Tokens-Billed",
                                  std::to_string(complete.value().end.billed));
    return response;
}

} // namespace turmeric::router
