#include "standins/engine/chat_request.hpp"

#include "libraries/codecs/common/json_reader.hpp"
#include "standins/common/response_text.hpp"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

namespace turmeric::standins
{

namespace
{

constexpr std::int64_t default_max_tokens = 256;

error invalid(std::string field, std::string detail)
{
    return error{result_code::invalid_field, std::move(field),
                 std::move(detail)};
}

std::string text_of_content(const json& content)
{
    if (content.is_string())
    {
        return content.get<std::string>();
    }
    std::string text;
    for (const json& part : content)
    {
        const auto found = part.find("text");
        if (found != part.end() && found->is_string())
        {
            text += found->get<std::string>();
        }
    }
    return text;
}

/// Returns N if `text` contains `[[tokens=N]]`, by which a caller requests a
/// response of N tokens.
std::optional<std::int64_t> requested_tokens(std::string_view text)
{
    constexpr std::string_view marker = "[[tokens=";
    const std::size_t begin = text.find(marker);
    if (begin == std::string_view::npos)
    {
        return std::nullopt;
    }
    const std::string_view rest = text.substr(begin + marker.size());
    std::int64_t number = 0;
    const std::from_chars_result parsed =
        std::from_chars(rest.data(), rest.data() + rest.size(), number);
    const bool is_number = parsed.ec == std::errc() && number >= 0;
    return is_number ? std::optional<std::int64_t>(number) : std::nullopt;
}

result<std::int64_t> read_integer(const json& body, const char* field,
                                  std::int64_t default_value)
{
    const auto found = body.find(field);
    if (found == body.end() || found->is_null())
    {
        return default_value;
    }
    if (!found->is_number_integer())
    {
        return invalid(field, "not an integer");
    }
    return found->get<std::int64_t>();
}

status read_messages(const json& body, chat_request& request)
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty())
    {
        return invalid("messages", "must be an array of at least one message");
    }
    std::string last;
    for (const json& message : *messages)
    {
        if (!message.is_object() || !message.contains("content"))
        {
            return invalid(
                "messages",
                "each message must be an object with role and content");
        }
        const auto role = message.find("role");
        last = text_of_content(message["content"]);
        append_message(request.prompt,
                       role != message.end() && role->is_string()
                           ? role->get<std::string>()
                           : "user",
                       last);
    }
    request.prompt_digest = domain::digest_of(request.prompt);
    request.prompt_tokens = count_prompt_tokens(request.prompt);
    request.response_tokens = requested_tokens(last).value_or(-1);
    return success();
}

status read_max_tokens(const json& body, chat_request& request)
{
    const result<std::int64_t> max_completion_tokens =
        read_integer(body, "max_completion_tokens", -1);
    const result<std::int64_t> legacy_max_tokens =
        read_integer(body, "max_tokens", -1);
    if (!max_completion_tokens || !legacy_max_tokens)
    {
        return max_completion_tokens ? legacy_max_tokens.failure()
                                     : max_completion_tokens.failure();
    }
    const std::int64_t requested_max_tokens =
        max_completion_tokens.value() >= 0 ? max_completion_tokens.value()
                                           : legacy_max_tokens.value();
    const std::int64_t max_tokens =
        requested_max_tokens >= 0 ? requested_max_tokens : default_max_tokens;
    request.is_limited_by_max_tokens =
        request.response_tokens < 0 || request.response_tokens > max_tokens;
    request.response_tokens =
        request.is_limited_by_max_tokens ? max_tokens : request.response_tokens;
    return success();
}

} // namespace

result<chat_request> parse_chat_request(const std::string& body)
{
    const result<json> parsed =
        codecs::parse_json(body, result_code::malformed_body, "body");
    if (!parsed)
    {
        return parsed.failure();
    }
    if (!parsed.value().is_object())
    {
        return error{result_code::malformed_body, "body", "not a JSON object"};
    }
    const json& document = parsed.value();
    chat_request request;
    const auto model = document.find("model");
    if (model == document.end() || !model->is_string())
    {
        return invalid("model", "must be a string");
    }
    request.version = model->get<std::string>();
    const auto stream = document.find("stream");
    request.is_streamed =
        stream != document.end() && stream->is_boolean() && stream->get<bool>();
    const result<std::int64_t> priority = read_integer(document, "priority", 0);
    if (!priority)
    {
        return priority.failure();
    }
    request.priority = priority.value();
    const status messages = read_messages(document, request);
    if (!messages)
    {
        return messages.failure();
    }
    const status limit_status = read_max_tokens(document, request);
    if (!limit_status)
    {
        return limit_status.failure();
    }
    return request;
}

} // namespace turmeric::standins
