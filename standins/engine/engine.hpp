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

/// How an answer ended.
enum class response_end
{
    complete,
    /// The caller closed the connection.
    cancelled,
    /// A fault broke it off.
    aborted,
    /// The engine recovers and took nothing.
    refused,
};

/// How an engine is made.
struct engine_options
{
    batch_options batch;
    std::size_t cache_blocks = 4'096;
    std::chrono::milliseconds report_lag{0};
};

/// Makes the tokens of all answers on one thread. Thread safe.
class engine
{
public:
    /// Precondition: `clock` outlives the engine.
    engine(const ports::clock& clock, const engine_options& options);
    ~engine();
    engine(const engine&) = delete;
    engine& operator=(const engine&) = delete;

    /// Returns how many tokens of `prompt` are cached, and caches it.
    std::int64_t look_up_prefix(std::string_view prompt);

    /// Makes an answer to its end. `wanted` says what it takes, but for its
    /// tokens. Blocks meanwhile.
    response_end serve(response_stream& response, const request_faults& faults,
                       const job& request_job);

    /// Tells whether the engine refuses because it fell over.
    bool is_recovering();

    /// Stops all motion, or lets it go on.
    void set_frozen(bool is_frozen);

    /// Waits until the engine is not frozen or stops.
    void wait_while_frozen();

    /// Returns the load as it is reported now, that is with its lag.
    load_report report();

    /// Returns how answers ended, tokens and held requests.
    json counts();

    /// Ends all answers, now and later.
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
        std::int64_t max_held = 0;
    };

    void run();
    // The functions below need the mutex held.
    void step(ports::steady_time now);
    void generate_token(job_id id, ports::steady_time now);
    void flush(job_id id, active_response& active, ports::steady_time now);
    void flush_pending(ports::steady_time now);
    void finish(job_id id, active_response& active, response_end end,
                ports::steady_time now);
    void count(response_end end);
    void record_load(ports::steady_time now);
    [[nodiscard]] bool is_idle() const;
    /// Takes the mutex itself.
    void on_disconnect(job_id id);

    const ports::clock& m_clock;
    std::mutex m_mutex;
    std::condition_variable m_state_changed;
    batch m_batch;
    prefix_cache m_cache;
    delayed_value<load_report> m_load_history;
    std::map<job_id, active_response*> m_active_responses;
    /// Answers with bytes that their connections did not take yet.
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
