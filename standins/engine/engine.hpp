#pragma once

#include "libraries/core/json.hpp"
#include "libraries/ports/clock.hpp"
#include "standins/common/delayed_value.hpp"
#include "standins/engine/batch.hpp"
#include "standins/engine/disconnect_watcher.hpp"
#include "standins/engine/engine_faults.hpp"
#include "standins/engine/load_report.hpp"
#include "standins/engine/prefix_cache.hpp"
#include "standins/engine/response_stream.hpp"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string_view>
#include <thread>

namespace turmeric::standins
{

/// How a response ended.
enum class response_end
{
    complete,
    /// The caller closed the connection.
    cancelled,
    /// A fault, a crash or a stop of the engine truncated the response.
    aborted,
    /// The engine recovers from a crash and did not accept the request.
    refused,
};

/// Options of an engine.
struct engine_options
{
    batch_options batch;
    /// Capacity of the prefix cache in blocks of 16 tokens.
    std::size_t cache_blocks = 4'096;
    /// Delay after which `report` shows a change of the load.
    std::chrono::milliseconds report_lag{0};
};

/// A simulated model engine. One thread generates the tokens of all responses.
/// Thread safe.
class engine
{
public:
    /// Precondition: `clock` outlives the engine.
    engine(const ports::clock& clock, const engine_options& options);
    ~engine();
    engine(const engine&) = delete;
    engine& operator=(const engine&) = delete;

    /// Returns the number of leading tokens of `prompt` that are cached, and
    /// adds the prompt to the cache.
    std::int64_t look_up_prefix(std::string_view prompt);

    /// Generates `response` and blocks until it ends. `request_job` describes
    /// the work except for the number of tokens, which comes from `response`.
    response_end serve(response_stream& response, const request_faults& faults,
                       const job& request_job);

    /// Returns whether the engine refuses requests because it crashed.
    bool is_recovering();

    /// Suspends the generation of all tokens, or resumes it.
    void set_frozen(bool is_frozen);

    /// Blocks until the engine is not frozen or stops.
    void wait_while_frozen();

    /// Returns the load as it was `report_lag` ago.
    load_report report();

    /// Returns the number of responses by how they ended, and the counts of
    /// tokens, requests in the batch and cache hits.
    json counts();

    /// Ends all responses, those that `serve` starts later included.
    void stop();

private:
    struct active_response
    {
        response_stream& response;
        const request_faults& faults;
        std::optional<response_end> end;
        std::condition_variable done;
    };

    struct counters
    {
        std::int64_t finished = 0;
        std::int64_t cancelled = 0;
        std::int64_t aborted = 0;
        std::int64_t refused = 0;
        std::int64_t tokens_out = 0;
        std::int64_t max_requests = 0;
    };

    void run();
    // Precondition of the functions below: the mutex is locked.
    void step(ports::steady_time now);
    void generate_token(job_id id, ports::steady_time now);
    void flush(job_id id, active_response& active, ports::steady_time now);
    void flush_pending(ports::steady_time now);
    void finish(job_id id, active_response& active, response_end end,
                ports::steady_time now);
    void count(response_end end);
    void record_load(ports::steady_time now);
    [[nodiscard]] bool is_idle() const;
    /// Locks the mutex.
    void on_disconnect(job_id id);

    const ports::clock& m_clock;
    std::mutex m_mutex;
    std::condition_variable m_state_changed;
    batch m_batch;
    prefix_cache m_cache;
    delayed_value<load_report> m_reported_load;
    std::map<job_id, active_response*> m_active_responses;
    /// Responses with bytes that their connections have not accepted yet.
    std::set<job_id> m_unflushed;
    counters m_counters;
    std::int64_t m_queried_tokens = 0;
    std::int64_t m_hit_tokens = 0;
    job_id m_last_id = 0;
    bool m_is_frozen = false;
    bool m_is_stopping = false;
    disconnect_watcher m_watcher;
    std::thread m_thread;
};

} // namespace turmeric::standins
