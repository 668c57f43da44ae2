#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/configuration/declarations.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace turmeric::codecs
{

/// Tokens as an engine counts them.
struct token_usage
{
    domain::tokens prompt = 0;
    domain::tokens completion = 0;
    domain::tokens cached = 0;
};

/// One event of an engine's answer.
struct chat_event
{
    /// The text that it adds, if any; one token.
    std::string text;
    std::optional<std::string> finish_reason;
    std::optional<token_usage> usage;
    /// The end mark of the stream.
    bool is_end_of_stream = false;
};

/// Parses the data of an event. Errors: `stream_broken`; an error object
/// sent by the engine is `upstream_failed`. Thread safe.
result<chat_event> parse_chat_event(std::string_view data);

/// What all events of one answer share.
struct response_identity
{
    std::string request_id;
    std::string model;
    /// Seconds since 1970.
    std::int64_t created = 0;
};

/// What the last event of an answer says of its bill.
struct response_bill
{
    token_usage usage;
    domain::tokens billed = 0;
    std::string version;
    std::string upstream;
    std::string finish_reason;
};

/// Makes the events that a caller gets. Thread safe.
[[nodiscard]] std::string make_text_event(const response_identity& identity,
                                          std::string_view text);

/// Makes the last events: finish reason, usage, bill and end mark. Thread
/// safe.
[[nodiscard]] std::string make_final_events(const response_identity& identity,
                                            const response_bill& bill);

/// Makes an event that tells a caller why its answer ends early. Thread safe.
[[nodiscard]] std::string make_error_event(const error& failure);

/// Makes the body of an answer that is not streamed. Thread safe.
[[nodiscard]] std::string
make_complete_response(const response_identity& identity, std::string_view text,
                       const response_bill& bill);

} // namespace turmeric::codecs
