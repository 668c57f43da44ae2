#pragma once

#include "libraries/ports/clock.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace turmeric::standins
{

/// The speed of an engine and its behaviour under load.
struct batch_options
{
    /// Maximum number of requests that run at the same time; the others wait.
    std::size_t capacity = 64;
    /// Number of running and waiting requests beyond which each step becomes
    /// slower. At 1.5 times this number the engine crashes. 0 disables both.
    std::size_t collapse_at = 0;
    /// Duration of a step, in which each running request gets one token.
    std::chrono::microseconds step{20'000};
    /// Time that each running request adds to a step.
    std::chrono::microseconds step_per_request{50};
    /// Prefill time for each prompt token that is not cached.
    std::chrono::microseconds prefill_per_token{40};
    /// Time for which the engine refuses requests after a crash.
    std::chrono::milliseconds recovery{3'000};
};

/// Identifies a request in the batch.
using job_id = std::uint64_t;

/// The work that one request needs.
struct job
{
    /// Requests with a smaller number are served first.
    std::int64_t priority = 0;
    /// Prompt tokens that are not cached.
    std::int64_t prefill_tokens = 0;
    /// Number of tokens to generate.
    std::int64_t tokens = 0;
    /// Factor by which the request's prefill and tokens are slower. At least 1.
    double slow_factor = 1.0;
    /// Additional time before the first token.
    std::chrono::milliseconds delay{0};
};

/// The result of one step.
struct step_outcome
{
    /// The requests that got a token in this step.
    std::vector<job_id> produced;
    /// The requests that were aborted because the engine crashed.
    std::vector<job_id> aborted;
};

/// Simulates continuous batching. Requests wait in a queue ordered by priority
/// and then by arrival; in each step every running request gets one token. Not
/// thread safe.
class batch
{
public:
    /// Creates an empty batch.
    explicit batch(batch_options options);

    /// Adds a request. Returns false, and does not add it, while the engine
    /// recovers from a crash. Precondition: `id` is not in the batch.
    bool submit(job_id id, const job& request_job, ports::steady_time now);

    /// Removes a request and starts waiting requests in the freed capacity.
    /// Returns false if the request is not in the batch.
    bool remove(job_id id, ports::steady_time now);

    /// Stops a running request from getting tokens. It still counts against
    /// the capacity.
    void stall(job_id id);

    /// Runs one step, or crashes if too many requests are in the batch.
    step_outcome step(ports::steady_time now);

    /// Returns whether the engine refuses requests because it crashed.
    [[nodiscard]] bool is_recovering(ports::steady_time now) const;

    /// Returns the duration of the next step.
    [[nodiscard]] std::chrono::microseconds step_time() const;

    /// Returns the number of running requests.
    [[nodiscard]] std::size_t running() const;

    /// Returns the number of waiting requests.
    [[nodiscard]] std::size_t waiting() const;

private:
    struct running_job
    {
        job request_job;
        std::int64_t remaining_tokens = 0;
        ports::steady_time prefilled_at;
        /// Tokens earned and not produced yet: a slow request earns a fraction
        /// of a token in each step.
        double earned_tokens = 0;
        bool is_stalled = false;
    };

    using queue_key = std::pair<std::int64_t, std::uint64_t>;

    void admit(ports::steady_time now);
    void start(job_id id, const job& request_job, ports::steady_time now);
    [[nodiscard]] bool has_reached_crash_load() const;
    step_outcome crash(ports::steady_time now);

    batch_options m_options;
    std::map<job_id, running_job> m_running;
    std::map<queue_key, std::pair<job_id, job>> m_queue;
    std::map<job_id, queue_key> m_queue_keys;
    std::uint64_t m_next_arrival = 0;
    ports::steady_time m_recovery_ends_at{};
};

} // namespace turmeric::standins
