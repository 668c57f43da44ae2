#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/budget/budget_shard.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace turmeric::domain
{

/// The value of one key `claims/{account}/{request id}`: who may dispatch
/// the request. It is created once and never changed.
struct claim_value
{
    std::string incarnation;
    /// Tells the attempts of one incarnation apart.
    std::int64_t attempt = 0;
    /// When the claim may be collected.
    sys_seconds kept_until{};
};

/// What to do next about a claim.
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
    /// Nothing is known; do not dispatch.
    unresolved,
};

/// What a call to the store showed.
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

/// One attempt to claim one request, as a state machine: create, and read
/// whenever the outcome of the creation is not known. An attempt that ended
/// without `granted` must never be dispatched. Not thread safe.
class claim_attempt
{
public:
    /// Precondition: no other attempt of the incarnation has this number.
    /// `most_calls` bounds the calls to the store.
    claim_attempt(claim_value value, std::int32_t most_calls);

    /// Returns what to do next. Not thread safe.
    [[nodiscard]] claim_step next() const;

    /// Returns the value to create the key with. Not thread safe.
    [[nodiscard]] const claim_value& value() const;

    /// Takes the outcome of a creation. Precondition: `next()` is `create`.
    /// Not thread safe.
    void on_create_result(claim_create_result event);

    /// Takes the outcome of a read; `found` is empty when the key does not
    /// exist. Precondition: `next()` is `read`. Not thread safe.
    void on_read_result(const std::optional<claim_value>& found);

    /// A read failed. Precondition: `next()` is `read`. Not thread safe.
    void on_read_failed();

    /// Ends the attempt for lack of time. Not thread safe.
    void on_timeout();

private:
    void go_on(claim_step step);

    claim_value m_value;
    std::int32_t m_calls_left;
    claim_step m_step = claim_step::create;
};

/// Returns the key of a claim. Thread safe.
[[nodiscard]] std::string claim_key(const std::string& account,
                                    const std::string& request_id);

/// Tells whether a claim may be collected: its time is over by more than the
/// clocks' skew. Thread safe.
[[nodiscard]] bool is_collectable(const claim_value& value, sys_seconds now,
                                  std::chrono::seconds clock_skew);

} // namespace turmeric::domain
