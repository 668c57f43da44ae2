#pragma once

#include "libraries/drivers/requests/upstream_exchange.hpp"

#include <string>

namespace turmeric::drivers
{

/// A call to a plain service; its complete response is one piece. Not thread
/// safe.
class service_exchange final : public upstream_exchange
{
public:
    /// The maximum size of a response body, which is buffered as one piece.
    static constexpr std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;

    /// Creates an exchange. Precondition: `request` outlives it.
    explicit service_exchange(const request_context& request);

    /// Returns the request, the same for each attempt. This and all functions
    /// below are not thread safe; see `upstream_exchange`.
    ports::upstream_request start_attempt(const std::string& version) override;

    /// Stores the status and the content type. Error: `upstream_overloaded` for
    /// status 503 when the request is idempotent.
    status accept_head(const ports::upstream_response_head& head) override;

    /// Buffers the bytes and returns no pieces. Error: `upstream_failed` when
    /// the response exceeds `max_body_bytes`.
    result<std::vector<std::string>> accept(std::string_view bytes) override;

    /// Returns the complete body.
    result<std::vector<std::string>> finish_attempt() override;

    /// Returns false: a retried service call starts from the beginning.
    [[nodiscard]] bool can_resume() const override;

    /// Returns 0: nothing is delivered before the response is complete.
    [[nodiscard]] domain::tokens delivered() const override;

    /// Returns the service's status and content type.
    [[nodiscard]] relayed_response_head head() const override;

    /// Returns the route's `tokens_per_call` as the amount to bill, or 0 when
    /// the status is 500 or above.
    [[nodiscard]] response_end bill() const override;

private:
    const request_context& m_request;
    relayed_response_head m_head;
    std::string m_body;
};

} // namespace turmeric::drivers
