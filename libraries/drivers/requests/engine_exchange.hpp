#pragma once

#include "libraries/codecs/openai/chat_event.hpp"
#include "libraries/codecs/openai/event_stream.hpp"
#include "libraries/domain/streaming/response_assembler.hpp"
#include "libraries/drivers/requests/upstream_exchange.hpp"

#include <optional>
#include <string>

namespace turmeric::drivers
{

/// A chat completion by a model engine; each piece is one token. Not thread
/// safe.
class engine_exchange final : public upstream_exchange
{
public:
    /// Creates an exchange. Precondition: `request` has a chat request and
    /// outlives it.
    explicit engine_exchange(const request_context& request);

    /// Returns the request of an attempt, which resumes after the tokens
    /// delivered so far. This and all functions below are not thread safe; see
    /// `upstream_exchange`.
    ports::upstream_request start_attempt(const std::string& version) override;

    /// Checks the status. Errors: `upstream_overloaded`, `upstream_failed`.
    status accept_head(const ports::upstream_response_head& head) override;

    /// Parses the events and returns their new tokens. Errors:
    /// `stream_broken`, `upstream_failed`.
    result<std::vector<std::string>> accept(std::string_view bytes) override;

    /// Returns no pieces. Error: `stream_broken` when the stream ended without
    /// its end event or with tokens missing.
    result<std::vector<std::string>> finish_attempt() override;

    /// Returns true: engines can resume a response at an offset.
    [[nodiscard]] bool can_resume() const override;

    /// Returns the number of tokens delivered.
    [[nodiscard]] domain::tokens delivered() const override;

    /// Returns the head of an event stream.
    [[nodiscard]] relayed_response_head head() const override;

    /// Returns the prompt tokens and the delivered tokens as the amount to
    /// bill. The prompt tokens are the engine's count if it sent one, else the
    /// router's.
    [[nodiscard]] response_end bill() const override;

private:
    status accept_event(const codecs::chat_event& event,
                        std::vector<std::string>& pieces);

    const request_context& m_request;
    codecs::event_stream_reader m_reader;
    domain::response_assembler m_assembler;
    /// The position of the attempt's next token in the complete response.
    domain::tokens m_offset = 0;
    bool m_has_end_event = false;
    std::optional<codecs::token_usage> m_usage;
    std::string m_finish_reason;
};

} // namespace turmeric::drivers
