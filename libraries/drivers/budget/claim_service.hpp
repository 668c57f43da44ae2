#pragma once

#include "libraries/core/logger.hpp"
#include "libraries/core/result.hpp"
#include "libraries/domain/claim/claim_attempt.hpp"
#include "libraries/drivers/threads/stop_signal.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/key_value_store.hpp"
#include "libraries/ports/random_source.hpp"

#include <atomic>
#include <cstdint>
#include <string>

namespace turmeric::drivers
{

/// Settings of `claim_service`.
struct claim_settings
{
    /// How long a claim is kept, and with it the refusal of a repeated request
    /// id.
    std::chrono::seconds retention{std::chrono::hours(24)};
    /// Added to the retention, for the difference between clocks.
    std::chrono::seconds clock_skew{std::chrono::minutes(5)};
    /// Limits the calls to the store for one claim.
    std::int32_t max_calls = 8;
    std::chrono::milliseconds min_backoff{20};
    std::chrono::milliseconds max_backoff{500};
    /// Limits the claims deleted in one run of `collect_expired_claims`.
    std::int32_t max_collected_per_run = 200;
};

/// Makes durable claims for requests that may run at most once. Thread safe.
class claim_service
{
public:
    /// Preconditions: all references outlive the service; `incarnation` was
    /// never used before.
    claim_service(ports::key_value_store& store, const ports::clock& clock,
                  ports::random_source& random, logger& log,
                  const claim_settings& settings, std::string incarnation);

    /// Returns success to at most one caller for each request id; that caller
    /// may dispatch the request once. Thread safe; blocks until `deadline` at
    /// most.
    ///
    /// Errors: `duplicate_request` when another attempt owns the claim,
    /// `claim_unresolved` when the owner could not be determined,
    /// `invalid_field`. The effect of the first two is `outcome_unknown`,
    /// because an earlier attempt may have run.
    status claim(const std::string& account, const std::string& request_id,
                 ports::steady_time deadline);

    /// Deletes claims whose retention has passed and returns their number. To
    /// be called by the leading controller. Thread safe; blocks.
    result<std::int32_t> collect_expired_claims();

    /// Ends all backoff waits at once. Thread safe.
    void stop();

private:
    void create_claim(domain::claim_attempt& attempt, const std::string& key);
    void read_claim(domain::claim_attempt& attempt, const std::string& key);
    status finish(const domain::claim_attempt& attempt,
                  const std::string& request_id);

    ports::key_value_store& m_store;
    const ports::clock& m_clock;
    ports::random_source& m_random;
    logger& m_log;
    claim_settings m_settings;
    std::string m_incarnation;
    std::atomic<std::int64_t> m_next_attempt{1};
    stop_signal m_stop;
};

} // namespace turmeric::drivers
