#include "libraries/codecs/openai/chat_event.hpp"

#include "libraries/codecs/common/json_reader.hpp"
#include "libraries/core/json.hpp"

#include <fmt/format.h>

namespace turmeric::codecs
{

namespace
{

std::string serialize(const json& value)
{
    constexpr int compact = -1;
    return value.dump(compact, ' ', false, json::error_handler_t::replace);
}

std::string make_event(const json& value)
{
    return "data: " + serialize(value) + "\n\n";
}

error stream_error(const std::string& detail)
{
    return {result_code::stream_broken, "event", detail,
            outcome::outcome_unknown};
}

token_usage read_usage(const json& usage)
{
    token_usage read;
    read.prompt = usage.value("prompt_tokens", domain::tokens{0});
    read.completion = usage.value("completion_tokens", domain::tokens{0});
    json details = usage.value("prompt_tokens_details", json::object());
    read.cached = details.value("cached_tokens", domain::tokens{0});
    return read;
}

void read_choice(const json& choice, chat_event& event)
{
    json delta = choice.value("delta", json::object());
    if (delta.contains("content") && delta["content"].is_string())
    {
        event.text = delta["content"].get<std::string>();
    }
    auto reason = choice.find("finish_reason");
    if (reason != choice.end() && reason->is_string())
    {
        event.finish_reason = reason->get<std::string>();
    }
}

json make_usage(const token_usage& usage)
{
    return {{"prompt_tokens", usage.prompt},
            {"completion_tokens", usage.completion},
            {"total_tokens", usage.prompt + usage.completion},
            {"prompt_tokens_details", {{"cached_tokens", usage.cached}}}};
}

json make_bill(const response_identity& identity, const response_bill& bill)
{
    return {{"request_id", identity.request_id},
            {"tokens_billed", bill.billed},
            {"version", bill.version},
            {"upstream", bill.upstream}};
}

json make_envelope(const response_identity& identity, const char* object)
{
    return {{"id", "chatcmpl-" + identity.request_id},
            {"object", object},
            {"created", identity.created},
            {"model", identity.model}};
}

} // namespace

result<chat_event> parse_chat_event(std::string_view data)
{
    chat_event event;
    if (data == "[DONE]")
    {
        event.is_end_of_stream = true;
        return event;
    }
    const result<json> read =
        parse_json(data, result_code::stream_broken, "event");
    if (!read || !read.value().is_object())
    {
        return stream_error("an event is not a JSON object");
    }
    const json& parsed = read.value();
    if (parsed.contains("error"))
    {
        return error{result_code::upstream_failed, "upstream",
                     "the engine ended its response with an error",
                     outcome::outcome_unknown};
    }
    try
    {
        json choices = parsed.value("choices", json::array());
        if (!choices.empty())
        {
            read_choice(choices.at(0), event);
        }
        auto usage = parsed.find("usage");
        if (usage != parsed.end() && usage->is_object())
        {
            event.usage = read_usage(*usage);
        }
    }
    catch (const json::exception&)
    {
        return stream_error("an event has a field of the wrong type");
    }
    return event;
}

std::string make_text_event(const response_identity& identity,
                            std::string_view text)
{
    // Formatted without a JSON object, for speed: there is one such event for
    // each token of each response.
    return fmt::format(
        R"(data: {{"id":"chatcmpl-{}","object":"chat.completion.chunk",)"
        R"("created":{},"model":{},"choices":[{{"index":0,)"
        R"("delta":{{"content":{}}},"finish_reason":null}}]}})"
        "\n\n",
        identity.request_id, identity.created, serialize(identity.model),
        serialize(text));
}

std::string make_final_events(const response_identity& identity,
                              const response_bill& bill)
{
    json finish = make_envelope(identity, "chat.completion.chunk");
    finish["choices"] = json::array({{{"index", 0},
                                      {"delta", json::object()},
                                      {"finish_reason", bill.finish_reason}}});
    json usage = make_envelope(identity, "chat.completion.chunk");
    usage["choices"] = json::array();
    usage["usage"] = make_usage(bill.usage);
    usage["turmeric"] = make_bill(identity, bill);
    return make_event(finish) + make_event(usage) + "data: [DONE]\n\n";
}

std::string make_error_event(const error& failure)
{
    json problem = {{"code", static_cast<int>(failure.code)},
                    {"type", name_of(failure.code)},
                    {"message", failure.detail},
                    {"outcome", name_of(failure.effect)}};
    return make_event({{"error", problem}});
}

std::string make_complete_response(const response_identity& identity,
                                   std::string_view text,
                                   const response_bill& bill)
{
    json response = make_envelope(identity, "chat.completion");
    response["choices"] =
        json::array({{{"index", 0},
                      {"message", {{"role", "assistant"}, {"content", text}}},
                      {"finish_reason", bill.finish_reason}}});
    response["usage"] = make_usage(bill.usage);
    response["turmeric"] = make_bill(identity, bill);
    return serialize(response);
}

} // namespace turmeric::codecs
