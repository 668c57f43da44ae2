#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/configuration/declarations.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace turmeric::codecs
{

/// Token counts of a request, as the engine reports them.
struct token_usage
{
    domain::tokens prompt = 0;
    domain::tokens completion = 0;
    domain::tokens cached = 0;
};

/// One event of an engine's response.
struct chat_event
{
    /// The text that the event appends to the response: one token, or empty.
    std::string text;
    std::optional<std::string> finish_reason;
    std::optional<token_usage> usage;
    /// Set for the event `[DONE]`, which ends the stream.
    bool is_end_of_stream = false;
};

/// Parses the data of an event. Errors: `stream_broken` for a malformed event,
/// `upstream_failed` for an error that the engine reports. Thread safe.
result<chat_event> parse_chat_event(std::string_view data);

/// The fields that are the same in all events of one response.
struct response_identity
{
    std::string request_id;
    std::string model;
    /// Seconds since the Unix epoch.
    std::int64_t created = 0;
};

/// The usage and the bill of a response, the version and the upstream that
/// served it, and why it ended.
struct response_bill
{
    token_usage usage;
    domain::tokens billed = 0;
    std::string version;
    std::string upstream;
    std::string finish_reason;
};

/// Makes the event that sends a caller the text of one token. Thread safe.
[[nodiscard]] std::string make_text_event(const response_identity& identity,
                                          std::string_view text);

/// Makes the last events: finish reason, usage and bill, `[DONE]`. Thread safe.
[[nodiscard]] std::string make_final_events(const response_identity& identity,
                                            const response_bill& bill);

/// Makes the event that reports to a caller why its response is truncated.
/// Thread safe.
[[nodiscard]] std::string make_error_event(const error& failure);

/// Makes the body of a response that is not streamed. Thread safe.
[[nodiscard]] std::string
make_complete_response(const response_identity& identity, std::string_view text,
                       const response_bill& bill);

} // namespace turmeric::codecs
