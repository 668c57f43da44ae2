#include <rapidcheck.h>

#include "libraries/domain/retry/retry_policy.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::domain;
using namespace std::chrono_literals;

namespace
{

class counting_random final : public ports::random_source
{
public:
    std::uint64_t next() override
    {
        constexpr std::uint64_t increment = 0x9e3779b97f4a7c15ULL;
        return m_state += increment;
    }

private:
    std::uint64_t m_state = 0;
};

failed_attempt make_attempt(outcome effect)
{
    failed_attempt attempt;
    attempt.account = "a";
    attempt.upstream = "u";
    attempt.can_resume = true;
    attempt.failure = {result_code::upstream_failed, "u", "", effect};
    return attempt;
}

rc::Gen<failed_attempt> any_attempt()
{
    return rc::gen::exec(
        []
        {
            failed_attempt attempt = make_attempt(
                *rc::gen::element(outcome::not_run, outcome::outcome_unknown));
            attempt.account = *rc::gen::element("a", "b");
            attempt.upstream = *rc::gen::element("u", "v");
            attempt.attempts = *rc::gen::inRange(1, 6);
            attempt.is_idempotent = *rc::gen::arbitrary<bool>();
            attempt.can_resume = *rc::gen::arbitrary<bool>();
            attempt.delivered = *rc::gen::inRange(0, 3);
            attempt.failure.code = *rc::gen::element(
                result_code::upstream_failed, result_code::stream_broken,
                result_code::upstream_timeout, result_code::caller_gone,
                result_code::upstream_overloaded);
            return attempt;
        });
}

} // namespace

TEST_GROUP(retry)
{
    counting_random random;
    ports::steady_time now{1h};
};

TEST(retry, never_retries_a_non_idempotent_call_that_may_have_run)
{
    CHECK(rc::check("a call that may have run is not dispatched again",
                    []
                    {
                        counting_random random;
                        retry_policy subject(retry_limits{}, random);
                        failed_attempt attempt = *any_attempt();
                        attempt.is_idempotent = false;
                        bool may_have_run =
                            attempt.delivered > 0 ||
                            attempt.failure.effect == outcome::outcome_unknown;
                        retry_decision decision = subject.decide(attempt, {});
                        RC_PRE(may_have_run);
                        RC_ASSERT(decision.action == retry_action::give_up);
                        RC_ASSERT(decision.failure->effect ==
                                  attempt.failure.effect);
                    }));
}

TEST(retry, stays_within_the_budgets_of_account_and_upstream)
{
    CHECK(rc::check(
        "retries are at most burst plus ratio times requests",
        []
        {
            counting_random random;
            retry_limits limits{{0.1, 5}, {0.2, 8}, 1000, 1ms, 1ms};
            retry_policy subject(limits, random);
            std::map<std::string, double> requests;
            std::map<std::string, double> retries;
            std::map<std::string, double> resumptions;
            int steps = *rc::gen::inRange(0, 300);
            for (int step = 0; step < steps; ++step)
            {
                failed_attempt attempt = *any_attempt();
                if (*rc::gen::inRange(0, 4) == 0)
                {
                    subject.record_request(attempt.account, attempt.upstream);
                    requests[attempt.account] += 1;
                    requests[attempt.upstream] += 1;
                }
                retry_action action = subject.decide(attempt, {}).action;
                for (const std::string& name :
                     {attempt.account, attempt.upstream})
                {
                    retries[name] += action == retry_action::retry;
                    resumptions[name] += action == retry_action::resume;
                    RC_ASSERT(retries[name] <= 5 + 0.1 * requests[name] + 1e-6);
                    RC_ASSERT(resumptions[name] <=
                              8 + 0.2 * requests[name] + 1e-6);
                }
            }
        }));
}

TEST(retry, resumes_at_the_first_token_not_yet_delivered)
{
    retry_policy subject(retry_limits{}, random);
    failed_attempt broken = make_attempt(outcome::outcome_unknown);
    broken.failure.code = result_code::stream_broken;
    broken.delivered = 17;
    retry_decision decision = subject.decide(broken, now);
    CHECK(decision.action == retry_action::resume);
    LONGS_EQUAL(17, decision.offset);
    broken.can_resume = false;
    CHECK(subject.decide(broken, now).action == retry_action::give_up);
}

TEST(retry, backs_off_with_jitter_and_keeps_the_deadline)
{
    retry_limits limits;
    limits.retries.burst = 1000;
    limits.max_attempts = 100;
    retry_policy subject(limits, random);
    failed_attempt attempt = make_attempt(outcome::not_run);
    attempt.attempts = 3;
    bool differs = false;
    std::chrono::milliseconds first = subject.decide(attempt, now).delay;
    for (int draw = 0; draw < 100; ++draw)
    {
        std::chrono::milliseconds delay = subject.decide(attempt, now).delay;
        CHECK(delay <= 4 * limits.initial_backoff);
        differs = differs || delay != first;
    }
    CHECK(differs);
    attempt.deadline = now;
    retry_decision late = subject.decide(attempt, now);
    CHECK(late.failure->code == result_code::deadline_exceeded);
    CHECK(late.failure->effect == outcome::not_run);
}

TEST(retry, gives_up_on_failures_that_another_upstream_cannot_avoid)
{
    retry_policy subject(retry_limits{}, random);
    failed_attempt abandoned = make_attempt(outcome::not_run);
    abandoned.failure.code = result_code::caller_gone;
    CHECK(subject.decide(abandoned, now).failure->code ==
          result_code::caller_gone);
    failed_attempt repeated = make_attempt(outcome::not_run);
    repeated.attempts = retry_limits{}.max_attempts;
    CHECK(subject.decide(repeated, now).action == retry_action::give_up);
}
