#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/callers/caller_request.hpp"
#include "libraries/ports/caller_channel.hpp"
#include "libraries/ports/http_message.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace turmeric::drivers
{

/// What a request to an upstream says beside what its caller sent.
struct upstream_terms
{
    /// The upstream that is meant.
    std::string upstream_id;
    /// The account that is served; empty on public routes.
    std::string account;
    /// How long the upstream may work.
    std::chrono::milliseconds time_left{0};
    std::int32_t urgency = 0;
    /// The last event that the caller has already.
    std::optional<std::int64_t> resume_after;
};

/// What the head of an upstream's answer says.
struct answer_meaning
{
    /// The upstream says that it did not run the request.
    bool is_not_executed = false;
    /// A success that bears the upstream's signature.
    bool is_success = false;
    /// Whether the status can stand in an answer as it is.
    bool is_genuine = false;
};

/// How callers and upstreams of one deployment write HTTP messages.
/// Thread safe.
class traffic_dialect
{
public:
    traffic_dialect() = default;
    traffic_dialect(const traffic_dialect&) = delete;
    traffic_dialect& operator=(const traffic_dialect&) = delete;
    virtual ~traffic_dialect() = default;

    /// Reads a caller's request. Errors: `invalid_field`.
    [[nodiscard]] virtual result<domain::caller_request>
    read_request(const ports::request_head& head) const = 0;

    /// Writes the request for an upstream, head and body.
    [[nodiscard]] virtual std::string
    write_request(const ports::received_request& request,
                  const upstream_terms& order) const = 0;

    /// Returns the name of the field by which answers name their request.
    [[nodiscard]] virtual std::string echoed_field_name() const = 0;

    /// Reads the head of an upstream's answer.
    [[nodiscard]] virtual answer_meaning
    read_answer(const ports::response_head& head) const = 0;

    /// Returns the head as the caller gets it.
    [[nodiscard]] virtual ports::response_head
    pass_on(const ports::response_head& head) const = 0;

    /// Writes an answer of the router's own; `body` is set as well.
    [[nodiscard]] virtual ports::response_head
    write_failure(const error& failure, std::string& body) const = 0;
};

} // namespace turmeric::drivers
