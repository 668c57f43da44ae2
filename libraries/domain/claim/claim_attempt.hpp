#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/budget/budget_shard.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace turmeric::domain
{

/// The value of one key `claims/{account}/{request id}`: identifies the attempt
/// that may dispatch the request. It is created once and never changed.
struct claim_value
{
    std::string incarnation;
    /// Distinguishes the attempts of one incarnation.
    std::int64_t attempt = 0;
    /// The claim may be garbage collected after this time.
    sys_seconds kept_until{};
};

/// The next step of an attempt to claim a request.
enum class claim_step : std::uint8_t
{
    /// Create the key; it must not exist.
    create,
    /// Read the key.
    read,
    /// This attempt owns the claim and may dispatch once.
    granted,
    /// Another attempt owns the claim; do not dispatch.
    refused,
    /// The owner of the claim could not be determined; do not dispatch.
    unresolved,
};

/// The result of a call to the store that creates the key.
enum class claim_create_result : std::uint8_t
{
    created,
    /// The key existed before the call.
    conflicted,
    /// The call had no effect.
    failed,
    /// The call may have had an effect.
    unknown,
};

/// State machine of one attempt to claim one request: creates the key, and
/// reads it whenever the outcome of the creation is unknown. A request must
/// never be dispatched for an attempt that ended without `granted`. Not thread
/// safe.
class claim_attempt
{
public:
    /// Makes at most `max_calls` calls to the store. Precondition: no other
    /// attempt of the incarnation has this number; `max_calls` is positive.
    claim_attempt(claim_value value, std::int32_t max_calls);

    /// Returns the next step. Not thread safe.
    [[nodiscard]] claim_step next() const;

    /// Returns the value with which the key is created. Not thread safe.
    [[nodiscard]] const claim_value& value() const;

    /// Handles the result of creating the key. Precondition: `next()` is
    /// `create`. Not thread safe.
    void on_create_result(claim_create_result event);

    /// Handles a successful read; `found` is empty when the key does not exist.
    /// Precondition: `next()` is `read`. Not thread safe.
    void on_read_result(const std::optional<claim_value>& found);

    /// Handles a failed read. Precondition: `next()` is `read`. Not thread
    /// safe.
    void on_read_failed();

    /// Ends an undecided attempt because its time limit has passed. Not thread
    /// safe.
    void on_timeout();

private:
    void advance(claim_step step);

    claim_value m_value;
    std::int32_t m_calls_left;
    claim_step m_step = claim_step::create;
};

/// Returns the key of a claim. Thread safe.
[[nodiscard]] std::string claim_key(const std::string& account,
                                    const std::string& request_id);

/// Returns whether a claim may be garbage collected: its `kept_until` has
/// passed by more than the clock skew. Thread safe.
[[nodiscard]] bool is_collectable(const claim_value& value, sys_seconds now,
                                  std::chrono::seconds clock_skew);

} // namespace turmeric::domain
