#pragma once

#include "libraries/core/error.hpp"
#include "libraries/domain/retry/retry_budget.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/random_source.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmeric::domain
{

/// The limits of retries and resumptions.
struct retry_limits
{
    retry_budget_limits retries{0.1, 10};
    /// For streams that are resumed after the caller has received a part.
    retry_budget_limits resumptions{0.2, 64};
    std::int32_t max_attempts = 4;
    std::chrono::milliseconds initial_backoff{25};
    std::chrono::milliseconds max_backoff{1'000};
};

/// How one attempt at a request failed.
struct failed_attempt
{
    std::string account;
    std::string upstream;
    /// The number of attempts so far, including this one.
    std::int32_t attempts = 1;
    bool is_idempotent = true;
    /// Whether the upstream can start a response at an offset.
    bool can_resume = false;
    /// Tokens delivered to the caller; the offset at which to resume.
    std::int64_t delivered = 0;
    /// `effect` says whether the attempt may have run.
    error failure;
    std::optional<ports::steady_time> deadline;
};

/// What to do after a failed attempt.
enum class retry_action : std::uint8_t
{
    /// Start over at another upstream; no token was delivered yet.
    retry,
    /// Resume the response at `offset` at another upstream.
    resume,
    give_up,
};

/// Returns the action's name. Thread safe.
[[nodiscard]] constexpr std::string_view name_of(retry_action value)
{
    switch (value)
    {
    case retry_action::retry:
        return "retry";
    case retry_action::resume:
        return "resume";
    case retry_action::give_up:
        return "give_up";
    }
    return "unknown";
}

/// An action and its parameters.
struct retry_decision
{
    retry_action action = retry_action::give_up;
    /// How long to wait before the next attempt.
    std::chrono::milliseconds delay{0};
    std::int64_t offset = 0;
    /// The error for the caller; set when giving up.
    std::optional<error> failure;
};

/// Decides whether a failed attempt is retried. Retries are decided only here:
/// no other layer repeats a call to an upstream. Not thread safe.
class retry_policy
{
public:
    /// Precondition: `random` outlives the policy. Not thread safe.
    retry_policy(const retry_limits& limits, ports::random_source& random);

    /// Records a first attempt, which adds to the retry budgets of the account
    /// and the upstream. Not thread safe.
    void record_request(const std::string& account,
                        const std::string& upstream);

    /// Decides what follows a failed attempt, and takes a retry from the
    /// budgets. Errors when giving up: `retry_budget_spent`,
    /// `deadline_exceeded`, or the attempt's own failure, with the effect of
    /// the attempt. Not thread safe.
    retry_decision decide(const failed_attempt& attempt,
                          ports::steady_time now);

private:
    [[nodiscard]] std::chrono::milliseconds backoff(std::int32_t attempts);

    retry_limits m_limits;
    ports::random_source& m_random;
    retry_budget m_retries;
    retry_budget m_resumptions;
};

} // namespace turmeric::domain
