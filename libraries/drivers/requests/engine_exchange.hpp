#pragma once

#include "libraries/codecs/openai/chat_event.hpp"
#include "libraries/codecs/openai/event_stream.hpp"
#include "libraries/domain/streaming/response_assembler.hpp"
#include "libraries/drivers/requests/upstream_exchange.hpp"

#include <optional>
#include <string>

namespace turmeric::drivers
{

/// A chat completion at a model engine; each piece is one token. Not thread
/// safe.
class engine_exchange final : public upstream_exchange
{
public:
    /// Precondition: `request` has a chat request and outlives this.
    explicit engine_exchange(const request_context& request);

    /// See `upstream_exchange`; all below are not thread safe.
    ports::upstream_request start_attempt(const std::string& version) override;

    /// Errors: `upstream_overloaded`, `upstream_failed`.
    status accept_head(const ports::upstream_response_head& head) override;

    /// Errors: `stream_broken`, `upstream_failed`.
    result<std::vector<std::string>> accept(std::string_view bytes) override;

    /// Error: `stream_broken` when no end mark came.
    result<std::vector<std::string>> finish_attempt() override;

    /// Engines resume at an offset.
    [[nodiscard]] bool can_resume() const override;

    /// Returns the tokens given out.
    [[nodiscard]] domain::tokens delivered() const override;

    /// An event stream.
    [[nodiscard]] answer_head head() const override;

    /// The engine's own count where it gave one.
    [[nodiscard]] answer_end bill() const override;

private:
    status accept_event(const codecs::chat_event& event,
                        std::vector<std::string>& pieces);

    const request_context& m_request;
    codecs::event_stream_reader m_reader;
    domain::response_assembler m_assembler;
    /// The position of the attempt's next token in the whole answer.
    domain::tokens m_offset = 0;
    bool m_is_done = false;
    std::optional<codecs::token_usage> m_usage;
    std::string m_finish_reason;
};

} // namespace turmeric::drivers
