#include "libraries/codecs/openai/chat_request.hpp"

#include "libraries/codecs/common/json_reader.hpp"
#include "libraries/domain/digest.hpp"

#include <algorithm>

namespace turmeric::codecs
{

namespace
{

// Long enough to distinguish conversations and system prompts.
constexpr std::size_t max_prefix_bytes = 512;
constexpr std::size_t max_messages = 4096;
constexpr std::size_t role_tokens_per_message = 8;

error invalid_field_error(const std::string& field,
                          const std::string& expectation)
{
    return {result_code::invalid_field, field, expectation};
}

status read_content(const json& content, const std::string& field,
                    std::string& prompt)
{
    if (content.is_string())
    {
        prompt += content.get_ref<const std::string&>();
        return success();
    }
    if (content.is_array())
    {
        for (const json& part : content)
        {
            prompt += part.dump();
        }
        return success();
    }
    if (content.is_null())
    {
        return success();
    }
    return invalid_field_error(field, "expected a string or an array of parts");
}

status read_messages(const json& body, std::string& prompt)
{
    auto found = body.find("messages");
    if (found == body.end() || !found->is_array() || found->empty() ||
        found->size() > max_messages)
    {
        return invalid_field_error("messages",
                                   "expected an array of 1 to 4096 messages");
    }
    for (std::size_t i = 0; i < found->size(); ++i)
    {
        std::string field = "messages[" + std::to_string(i) + "]";
        const json& message = found->at(i);
        if (!message.is_object() || !message.contains("role") ||
            !message.at("role").is_string())
        {
            return invalid_field_error(field + ".role", "expected a string");
        }
        status read = read_content(message.value("content", json()),
                                   field + ".content", prompt);
        if (!read)
        {
            return read;
        }
    }
    return success();
}

result<std::optional<domain::tokens>> read_max_tokens(const json& body)
{
    for (const char* name : {"max_completion_tokens", "max_tokens"})
    {
        auto found = body.find(name);
        if (found == body.end() || found->is_null())
        {
            continue;
        }
        constexpr std::uint64_t max_value = 1U << 30U;
        // The parser turns an integer of more than 64 bits into a
        // floating-point number, which is rejected here.
        if (!found->is_number_unsigned() || found->get<std::uint64_t>() == 0 ||
            found->get<std::uint64_t>() > max_value)
        {
            return invalid_field_error(
                name, "expected an integer from 1 to 1073741824");
        }
        return std::optional<domain::tokens>(found->get<domain::tokens>());
    }
    return std::optional<domain::tokens>();
}

} // namespace

result<chat_request> parse_chat_request(std::string_view body)
{
    result<json> parsed = parse_json(body, result_code::malformed_body, "body");
    if (!parsed)
    {
        return parsed.failure();
    }
    if (!parsed.value().is_object())
    {
        return error{result_code::malformed_body, "body",
                     "expected a JSON object"};
    }
    chat_request request;
    request.body = std::move(parsed.value());
    auto model = request.body.find("model");
    if (model == request.body.end() || !model->is_string() ||
        model->get_ref<const std::string&>().empty())
    {
        return invalid_field_error("model", "expected the name of a route");
    }
    request.model = model->get<std::string>();
    auto stream = request.body.find("stream");
    if (stream != request.body.end() && !stream->is_boolean())
    {
        return invalid_field_error("stream", "expected true or false");
    }
    request.is_streamed = request.body.value("stream", false);
    result<std::optional<domain::tokens>> max_tokens =
        read_max_tokens(request.body);
    if (!max_tokens)
    {
        return max_tokens.failure();
    }
    request.max_tokens = max_tokens.value();
    std::string prompt;
    status read = read_messages(request.body, prompt);
    if (!read)
    {
        return read.failure();
    }
    request.prompt_bytes = prompt.size();
    request.prefix_digest =
        domain::digest_of(std::string_view(prompt).substr(0, max_prefix_bytes));
    return request;
}

domain::tokens max_prompt_tokens(const chat_request& request,
                                 std::size_t bytes_per_token)
{
    std::size_t messages = request.body.at("messages").size();
    return static_cast<domain::tokens>(request.prompt_bytes / bytes_per_token +
                                       1 + messages * role_tokens_per_message);
}

std::string make_engine_body(const chat_request& request,
                             const std::string& version,
                             domain::tokens max_tokens, std::int32_t priority)
{
    json body = request.body;
    body["model"] = version;
    body["stream"] = true;
    body["stream_options"] = {{"include_usage", true}};
    body.erase("max_completion_tokens");
    body["max_tokens"] = max_tokens;
    body["priority"] = priority;
    constexpr int compact = -1;
    return body.dump(compact, ' ', false, json::error_handler_t::replace);
}

} // namespace turmeric::codecs
