#pragma once

#include "libraries/core/json.hpp"
#include "standins/engine/chat_request.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace turmeric::standins
{

/// Generates the tokens of one response. Writes a streamed response to its
/// connection as server-sent events; keeps the text of a response that is not
/// streamed. Not thread safe.
class response_stream
{
public:
    /// The response starts after its first `offset` tokens. `cached_tokens` is
    /// reported in the usage. Precondition: `socket` outlives the stream; it
    /// is written to only if the request is streamed.
    response_stream(chat_request request, std::string id, std::int64_t offset,
                    std::int64_t cached_tokens, int socket);

    /// Returns the request.
    [[nodiscard]] const chat_request& request() const;

    /// Returns the socket of the connection.
    [[nodiscard]] int socket() const;

    /// Returns the number of tokens that are still to be generated.
    [[nodiscard]] std::int64_t remaining_tokens() const;

    /// Returns the number of tokens generated so far, without those before the
    /// offset.
    [[nodiscard]] std::int64_t generated_tokens() const;

    /// Generates the next token, and appends the end of the response after the
    /// last one. Precondition: `remaining_tokens()` is not 0.
    void generate_token();

    /// Appends the end of a response without tokens. Precondition:
    /// `remaining_tokens()` is 0 and no token was generated.
    void append_end();

    /// Sends as many queued bytes as the connection accepts without blocking.
    /// Returns false if the connection is broken.
    bool flush();

    /// Returns whether all queued bytes are sent.
    [[nodiscard]] bool is_flushed() const;

    /// Returns the complete response to a request that is not streamed, as a
    /// `chat.completion` object.
    [[nodiscard]] json completion_json() const;

private:
    void append_event(const std::string& event);
    [[nodiscard]] json usage_json() const;
    [[nodiscard]] const char* finish_reason() const;

    chat_request m_request;
    std::string m_id;
    /// The part of an event before the token's text.
    std::string m_event_prefix;
    std::int64_t m_offset;
    std::int64_t m_cached_tokens;
    int m_socket;
    std::int64_t m_next_token;
    std::string m_generated_text;
    std::string m_output;
    std::size_t m_sent_bytes = 0;
};

} // namespace turmeric::standins
