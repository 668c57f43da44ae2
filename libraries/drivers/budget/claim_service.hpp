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
    /// How long a repeat of the request id is refused.
    std::chrono::seconds retention{std::chrono::hours(24)};
    std::chrono::seconds clock_skew{std::chrono::minutes(5)};
    std::int32_t max_calls = 8;
    std::chrono::milliseconds min_backoff{20};
    std::chrono::milliseconds max_backoff{500};
    /// Claims deleted in one run of `collect`.
    std::int32_t max_collected_per_run = 200;
};

/// Makes durable claims before requests that may run once at most. Thread
/// safe.
class claim_service
{
public:
    /// Precondition: all references outlive the service; `incarnation` was
    /// never used before.
    claim_service(ports::key_value_store& store, const ports::clock& clock,
                  ports::random_source& random, logger& log,
                  const claim_settings& settings, std::string incarnation);

    /// Returns success to one caller at most for each request id, who may
    /// then dispatch it once. Thread safe; blocks until `deadline` at most.
    ///
    /// Errors: `duplicate_request` when another attempt has the claim,
    /// `claim_unresolved` when that is not known; `invalid_field`. Their
    /// effect is `outcome_unknown`: an earlier attempt may have run.
    status claim(const std::string& account, const std::string& request_id,
                 ports::steady_time deadline);

    /// Deletes claims whose time is over; called by the controller that
    /// leads. Returns how many. Thread safe; blocks.
    result<std::int32_t> collect_expired_claims();

    /// Ends waits for a backoff at once. Thread safe.
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
