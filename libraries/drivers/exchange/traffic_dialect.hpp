#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/callers/caller_request.hpp"
#include "libraries/domain/callers/route_table.hpp"
#include "libraries/domain/placement/upstream_entry.hpp"
#include "libraries/ports/caller_channel.hpp"
#include "libraries/ports/http_message.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmeric::drivers
{

/// What the router adds to a request before sending it to an upstream.
struct upstream_request_metadata
{
    /// The upstream that the request is for.
    std::string upstream_id;
    /// The account that the request is charged to; empty on public routes.
    std::string account;
    /// Time until the deadline of the request.
    std::chrono::milliseconds time_left{0};
    std::int32_t urgency = 0;
    /// The id of the last event that the caller has received.
    std::optional<std::int64_t> resume_after;
};

/// What a router changes in a request that it forwards to a peer.
struct forwarding_metadata
{
    /// The peer's address for callers.
    std::string peer_address;
    /// Time until the deadline of the request.
    std::chrono::milliseconds time_left{0};
    /// Maximum number of upstreams that the peer may send the request to.
    std::int32_t attempts_left = 1;
    /// The id of the last event that the caller has received.
    std::optional<std::int64_t> resume_after;
};

/// How an upstream's response is to be handled, by its head.
struct response_classification
{
    /// The upstream states that it did not run the request.
    bool is_not_executed = false;
    /// The response comes from another upstream, which has the address now.
    bool is_misdirected = false;
    /// Whether it is a success that carries the upstream's signature field.
    bool is_success = false;
    /// Whether the status may be forwarded to the caller unchanged.
    bool is_forwardable = false;
    /// A peer states that it sent the request to no upstream.
    bool is_not_sent = false;
};

/// How far a request had come when a router refused it.
enum class refusal_stage : std::uint8_t
{
    /// It was sent to no upstream.
    not_sent,
    /// Each upstream that it was sent to states that it did not run it.
    not_run,
    outcome_unknown,
};

/// Returns the stage's name. Thread safe.
[[nodiscard]] constexpr std::string_view name_of(refusal_stage value)
{
    switch (value)
    {
    case refusal_stage::not_sent:
        return "not_sent";
    case refusal_stage::not_run:
        return "not_run";
    case refusal_stage::outcome_unknown:
        return "outcome_unknown";
    }
    return "unknown";
}

/// The HTTP conventions of one deployment, by which callers and upstreams write
/// their messages. Thread safe.
class traffic_dialect
{
public:
    traffic_dialect() = default;
    traffic_dialect(const traffic_dialect&) = delete;
    traffic_dialect& operator=(const traffic_dialect&) = delete;
    virtual ~traffic_dialect() = default;

    /// Parses a caller's request. Errors: `invalid_field`.
    [[nodiscard]] virtual result<domain::caller_request>
    read_request(const ports::request_head& head) const = 0;

    /// Returns the head of the request for an upstream as bytes. The body
    /// follows it unchanged; its length is `body_bytes`.
    [[nodiscard]] virtual std::string
    write_request(const ports::request_head& head, std::size_t body_bytes,
                  const upstream_request_metadata& metadata) const = 0;

    /// Returns the request by which a router finds out whether it reaches an
    /// upstream. It runs no caller's request. `service` is the declaration of
    /// the upstream's service, or null.
    [[nodiscard]] virtual std::string
    write_path_probe(const domain::upstream_entry& upstream,
                     const domain::upstream_service* service) const = 0;

    /// Returns the head of the request for a peer's caller address as bytes,
    /// like `write_request`. It has the caller's key, since the peer handles it
    /// like a caller's request, and it is marked so that the peer does not
    /// forward it again.
    [[nodiscard]] virtual std::string
    write_forwarded_request(const ports::request_head& head,
                            std::size_t body_bytes,
                            const forwarding_metadata& metadata) const = 0;

    /// Returns the name of the header field in which a response repeats the id
    /// of its request.
    [[nodiscard]] virtual std::string echoed_field_name() const = 0;

    /// Classifies an upstream's response by its head.
    [[nodiscard]] virtual response_classification
    classify_response(const ports::response_head& head) const = 0;

    /// Classifies a peer's response to a forwarded request by its head. A
    /// response without the id of its request is not forwardable. Only an error
    /// response that `mark_error_response` has marked may state that the
    /// request did not run; the response of any other process may not.
    [[nodiscard]] virtual response_classification
    classify_peer_response(const ports::response_head& head) const = 0;

    /// Marks the head of this router's own error response to a request that a
    /// peer has forwarded, with the id of the request.
    virtual void mark_error_response(ports::response_head& head,
                                     refusal_stage stage,
                                     const std::string& request_id) const = 0;

    /// Adds the id of the request to the head of an upstream's response if the
    /// upstream has not repeated it.
    virtual void add_request_id(ports::response_head& head,
                                const std::string& request_id) const = 0;

    /// Returns the requests per second that the upstream takes from all routers
    /// together, or nothing if its response names no limit. Errors:
    /// `invalid_field` if the limit is no decimal number or is named twice.
    [[nodiscard]] virtual result<std::optional<double>>
    read_rate_limit(const ports::response_head& head) const = 0;

    /// Returns whether the upstream states that it is leaving. Errors:
    /// `invalid_field` if its statement is malformed or made twice.
    [[nodiscard]] virtual result<bool>
    read_leaving(const ports::response_head& head) const = 0;

    /// Returns for how long the upstream wants no further request from this
    /// router, or nothing if its response says nothing of it. Errors:
    /// `invalid_field` if the time is no decimal number or is given twice.
    [[nodiscard]] virtual result<std::optional<std::chrono::milliseconds>>
    read_pause(const ports::response_head& head) const = 0;

    /// Returns how many requests in a second the upstream can turn away without
    /// falling over, or nothing if it does not say that it is brittle. Errors:
    /// `invalid_field` if this is no whole number or is said twice.
    [[nodiscard]] virtual result<std::optional<std::int64_t>>
    read_brittle(const ports::response_head& head) const = 0;

    /// Returns the head that is forwarded to the caller for an upstream's
    /// response.
    [[nodiscard]] virtual ports::response_head
    make_caller_head(const ports::response_head& head) const = 0;

    /// Returns the head of the router's own error response; sets `body`.
    [[nodiscard]] virtual ports::response_head
    write_error_response(const error& failure, std::string& body) const = 0;
};

} // namespace turmeric::drivers
