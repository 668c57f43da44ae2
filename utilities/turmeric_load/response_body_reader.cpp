#include "utilities/turmeric_load/response_body_reader.hpp"

#include <charconv>
#include <utility>

namespace turmeric::load
{

namespace
{

constexpr int http_ok = 200;

bool is_event_stream(const response_head& head)
{
    return head.status == http_ok &&
           head.header("content-type").starts_with("text/event-stream");
}

json parse(std::string_view text)
{
    constexpr bool allows_exceptions = false;
    return json::parse(text, nullptr, allows_exceptions);
}

std::int64_t integer_at(const json& document, const char* outer,
                        const char* inner, std::int64_t if_absent)
{
    const auto object = document.find(outer);
    if (object == document.end())
    {
        return if_absent;
    }
    const auto number = object->find(inner);
    return number != object->end() && number->is_number_integer()
               ? number->get<std::int64_t>()
               : if_absent;
}

/// Finds the text of a token event without parsing all of its JSON.
std::optional<std::string_view> find_delta(std::string_view event)
{
    constexpr std::string_view content_prefix = R"("delta":{"content":")";
    const std::size_t begin = event.find(content_prefix);
    if (begin == std::string_view::npos)
    {
        return std::nullopt;
    }
    const std::string_view rest = event.substr(begin + content_prefix.size());
    const std::size_t end = rest.find_first_of("\"\\");
    // Escape sequences need the full parser.
    if (end == std::string_view::npos || rest[end] != '"')
    {
        return std::nullopt;
    }
    const std::string_view rest_of_event = rest.substr(end);
    const bool may_have_other_fields =
        rest_of_event.find("usage") != std::string_view::npos ||
        rest_of_event.find("turmeric") != std::string_view::npos;
    return may_have_other_fields
               ? std::nullopt
               : std::optional<std::string_view>(rest.substr(0, end));
}

} // namespace

response_body_reader::response_body_reader(response_check check)
    : m_check(std::move(check))
{
}

bool response_body_reader::feed(const response_head& head,
                                std::string_view data)
{
    m_pending.append(data);
    if (!is_event_stream(head))
    {
        return head.status == http_ok;
    }
    bool has_text = false;
    std::size_t begin = 0;
    std::size_t end = m_pending.find("\n\n");
    while (end != std::string::npos)
    {
        const std::string_view event(m_pending);
        has_text = read_event(event.substr(begin, end - begin)) || has_text;
        begin = end + 2;
        end = m_pending.find("\n\n", begin);
    }
    m_pending.erase(0, begin);
    return has_text;
}

void response_body_reader::finish(const response_head& head)
{
    if (!is_event_stream(head))
    {
        finish_document(head);
    }
    const std::string billed_tokens = head.header("turmeric-tokens-billed");
    std::int64_t number = 0;
    const std::from_chars_result parsed =
        std::from_chars(billed_tokens.data(),
                        billed_tokens.data() + billed_tokens.size(), number);
    if (!billed_tokens.empty() && parsed.ec == std::errc())
    {
        m_billed = number;
    }
}

const response_check& response_body_reader::check() const
{
    return m_check;
}

bool response_body_reader::has_end() const
{
    return m_has_end;
}

const std::optional<reported_failure>& response_body_reader::failure() const
{
    return m_failure;
}

std::optional<std::int64_t> response_body_reader::billed_tokens() const
{
    return m_billed;
}

std::int64_t response_body_reader::used_tokens() const
{
    return m_used;
}

bool response_body_reader::read_event(std::string_view event)
{
    constexpr std::string_view prefix = "data:";
    if (!event.starts_with(prefix))
    {
        return false;
    }
    event.remove_prefix(prefix.size());
    if (event.find_first_not_of(' ') != std::string_view::npos)
    {
        event.remove_prefix(event.find_first_not_of(' '));
    }
    if (event == "[DONE]")
    {
        m_has_end = true;
        return false;
    }
    const std::optional<std::string_view> text = find_delta(event);
    if (text)
    {
        m_check.feed(*text);
        return true;
    }
    return read_document(parse(event));
}

bool response_body_reader::read_document(const json& document)
{
    if (!document.is_object())
    {
        return false;
    }
    if (document.contains("error"))
    {
        read_failure(document["error"], http_ok);
        return false;
    }
    m_used = integer_at(document, "usage", "total_tokens", m_used);
    const std::int64_t billed_tokens =
        integer_at(document, "turmeric", "tokens_billed", -1);
    if (billed_tokens >= 0)
    {
        m_billed = billed_tokens;
    }
    const json::json_pointer content_paths[] = {
        json::json_pointer("/choices/0/delta/content"),
        json::json_pointer("/choices/0/message/content")};
    bool has_text = false;
    for (const json::json_pointer& path : content_paths)
    {
        if (document.contains(path) && document[path].is_string())
        {
            m_check.feed(document[path].get_ref<const std::string&>());
            has_text = true;
        }
    }
    return has_text;
}

void response_body_reader::read_failure(const json& document, int http_status)
{
    reported_failure failure;
    failure.http_status = http_status;
    if (document.is_object())
    {
        const auto code = document.find("code");
        if (code != document.end() && code->is_number_integer())
        {
            failure.code = code->get<int>();
        }
        const auto outcome = document.find("outcome");
        if (outcome != document.end() && outcome->is_string())
        {
            failure.outcome = outcome->get<std::string>();
        }
    }
    m_failure = std::move(failure);
}

void response_body_reader::finish_document(const response_head& head)
{
    const json document = parse(m_pending);
    if (head.status != http_ok)
    {
        read_failure(document, head.status);
        return;
    }
    m_has_end = read_document(document);
}

} // namespace turmeric::load
