#include "libraries/domain/retry/retry_policy.hpp"

#include <algorithm>
#include <array>

namespace turmeric::domain
{

namespace
{

/// Returns whether another upstream may succeed after this failure.
bool is_upstream_fault(result_code code)
{
    constexpr std::array<result_code, 5> faults{
        result_code::upstream_failed,     result_code::upstream_timeout,
        result_code::upstream_overloaded, result_code::stream_broken,
        result_code::no_upstream,
    };
    return std::find(faults.begin(), faults.end(), code) != faults.end();
}

retry_decision give_up(const failed_attempt& attempt, result_code code,
                       const char* detail)
{
    error failure{code, attempt.upstream, detail, attempt.failure.effect};
    return retry_decision{.failure = failure};
}

retry_decision give_up(const failed_attempt& attempt)
{
    return retry_decision{.failure = attempt.failure};
}

bool may_have_run(const failed_attempt& attempt)
{
    return attempt.delivered > 0 || attempt.failure.effect != outcome::not_run;
}

} // namespace

retry_policy::retry_policy(const retry_limits& limits,
                           ports::random_source& random)
    : m_limits(limits)
    , m_random(random)
    , m_retries(limits.retries)
    , m_resumptions(limits.resumptions)
{
}

void retry_policy::record_request(const std::string& account,
                                  const std::string& upstream)
{
    m_retries.deposit(account, upstream);
    m_resumptions.deposit(account, upstream);
}

std::chrono::milliseconds retry_policy::backoff(std::int32_t attempts)
{
    constexpr int max_doublings = 20;
    int doublings = std::clamp(attempts - 1, 0, max_doublings);
    std::chrono::milliseconds max_delay = std::min(
        m_limits.initial_backoff * (1 << doublings), m_limits.max_backoff);
    std::uint64_t delay_count =
        static_cast<std::uint64_t>(max_delay.count()) + 1;
    return std::chrono::milliseconds(m_random.next() % delay_count);
}

retry_decision retry_policy::decide(const failed_attempt& attempt,
                                    ports::steady_time now)
{
    if (!is_upstream_fault(attempt.failure.code) ||
        attempt.attempts >= m_limits.max_attempts)
    {
        return give_up(attempt);
    }
    if (!attempt.is_idempotent && may_have_run(attempt))
    {
        return give_up(attempt);
    }
    bool is_started = attempt.delivered > 0;
    if (is_started && !attempt.can_resume)
    {
        return give_up(attempt);
    }
    std::chrono::milliseconds delay = backoff(attempt.attempts);
    if (attempt.deadline && now + delay >= *attempt.deadline)
    {
        return give_up(attempt, result_code::deadline_exceeded,
                       "the deadline leaves no time for another attempt");
    }
    retry_budget& budget = is_started ? m_resumptions : m_retries;
    if (!budget.try_acquire(attempt.account, attempt.upstream))
    {
        return give_up(
            attempt, result_code::retry_budget_spent,
            "the retry budget of the account or the upstream is spent");
    }
    return retry_decision{
        .action = is_started ? retry_action::resume : retry_action::retry,
        .delay = delay,
        .offset = attempt.delivered,
        .failure = std::nullopt,
    };
}

} // namespace turmeric::domain
