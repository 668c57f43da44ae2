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

/// The speed of an engine and how it behaves under load.
struct batch_options
{
    /// Requests that run at a time; the others wait.
    std::size_t capacity = 64;
    /// Held requests past which the engine slows down; at half as many again
    /// it falls over. 0 means never.
    std::size_t collapse_at = 0;
    /// The time of a step, in which each running request gets a token.
    std::chrono::microseconds step{20'000};
    /// What each running request adds to a step.
    std::chrono::microseconds step_per_request{50};
    std::chrono::microseconds prefill_per_token{40};
    /// How long it refuses after it fell over.
    std::chrono::milliseconds recovery{3'000};
};

/// Names a request in the batch.
using job_id = std::uint64_t;

/// What one request needs.
struct job
{
    /// A smaller number is served sooner.
    std::int64_t priority = 0;
    /// Prompt tokens that are not cached.
    std::int64_t prefill_tokens = 0;
    /// Tokens to produce.
    std::int64_t tokens = 0;
    /// Divides the request's speed. At least 1.
    double slow_factor = 1.0;
    /// Extra time before the first token.
    std::chrono::milliseconds delay{0};
};

/// What one step did.
struct step_outcome
{
    /// The requests that got a token.
    std::vector<job_id> produced;
    /// The requests lost because the engine fell over.
    std::vector<job_id> aborted;
};

/// Continuous batching: a queue by priority and then by age, and a step in
/// which each running request gets one token. Not thread safe.
class batch
{
public:
    /// No precondition.
    explicit batch(batch_options options);

    /// Takes a request; false while the engine recovers. Precondition: `id`
    /// is not held.
    bool submit(job_id id, const job& request_job, ports::steady_time now);

    /// Removes a request and gives its place to the next; false when it is
    /// not held.
    bool remove(job_id id, ports::steady_time now);

    /// Lets a running request keep its place and produce nothing more.
    void stall(job_id id);

    /// Runs one step.
    step_outcome step(ports::steady_time now);

    /// Tells whether it refuses because it fell over.
    [[nodiscard]] bool is_recovering(ports::steady_time now) const;

    /// Returns how long the next step takes.
    [[nodiscard]] std::chrono::microseconds step_time() const;

    /// Returns how many requests run.
    [[nodiscard]] std::size_t running() const;

    /// Returns how many requests wait.
    [[nodiscard]] std::size_t waiting() const;

private:
    struct running_job
    {
        job request_job;
        std::int64_t remaining_tokens = 0;
        ports::steady_time prefilled_at;
        /// Parts of a token earned so far.
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
