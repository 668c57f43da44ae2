#pragma once

#include "libraries/core/json.hpp"
#include "standins/engine/chat_request.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace turmeric::standins
{

/// Makes the bytes of one answer and sends those of a streamed one. Not
/// thread safe.
class response_stream
{
public:
    /// The answer leaves out its first `offset` tokens. Precondition:
    /// `socket` outlives the stream; it is written to only if the request
    /// is streamed.
    response_stream(chat_request request, std::string id, std::int64_t offset,
                    std::int64_t cached_tokens, int socket);

    /// Returns the request.
    [[nodiscard]] const chat_request& request() const;

    /// Returns the connection.
    [[nodiscard]] int socket() const;

    /// Returns how many tokens are left to make.
    [[nodiscard]] std::int64_t remaining_tokens() const;

    /// Returns how many tokens were made.
    [[nodiscard]] std::int64_t generated_tokens() const;

    /// Makes the next token, and the end of the answer after the last one.
    /// Precondition: `left()` is not 0.
    void generate_token();

    /// Makes the end of an answer without a token. Precondition: `left()` is
    /// 0 and nothing was made.
    void append_end();

    /// Sends what the connection takes without blocking; false when the
    /// connection is broken.
    bool flush();

    /// Tells whether all that was made is sent.
    [[nodiscard]] bool is_flushed() const;

    /// Returns the whole answer of a request that is not streamed.
    [[nodiscard]] json completion_json() const;

private:
    void append_event(const std::string& event);
    [[nodiscard]] json usage_json() const;
    [[nodiscard]] const char* finish_reason() const;

    chat_request m_request;
    std::string m_id;
    /// The part of an event before a token's text and the one after it.
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
