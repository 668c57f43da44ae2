#pragma once

#include "libraries/drivers/requests/upstream_exchange.hpp"

#include <string>

namespace turmeric::drivers
{

/// A call to a plain service; its whole answer is one piece. Not thread safe.
class service_exchange final : public upstream_exchange
{
public:
    /// The longest answer that is taken, in bytes.
    static constexpr std::size_t most_body_bytes = std::size_t{4} * 1024 * 1024;

    /// Precondition: `request` outlives this.
    explicit service_exchange(const request_context& request);

    /// See `upstream_exchange`; all below are not thread safe.
    ports::upstream_request start_attempt(const std::string& version) override;

    /// Error: `upstream_overloaded`.
    status accept_head(const ports::upstream_response_head& head) override;

    /// Error: `upstream_failed` for an answer that is too long.
    result<std::vector<std::string>> accept(std::string_view bytes) override;

    /// Returns the whole body.
    result<std::vector<std::string>> finish_attempt() override;

    /// A service's answer starts anew.
    [[nodiscard]] bool can_resume() const override;

    /// Always 0 until the answer is whole.
    [[nodiscard]] domain::tokens delivered() const override;

    /// The service's own status and content type.
    [[nodiscard]] answer_head head() const override;

    /// The route's price of a call, unless the service failed.
    [[nodiscard]] answer_end bill() const override;

private:
    const request_context& m_request;
    answer_head m_head;
    std::string m_body;
};

} // namespace turmeric::drivers
