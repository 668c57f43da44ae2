#pragma once

#include "utilities/turmeric_load/connection.hpp"
#include "utilities/turmeric_load/event_loop.hpp"
#include "utilities/turmeric_load/load_options.hpp"
#include "utilities/turmeric_load/load_report.hpp"
#include "utilities/turmeric_load/request_plan.hpp"
#include "utilities/turmeric_load/response_body_reader.hpp"
#include "utilities/turmeric_load/response_parser.hpp"
#include "utilities/turmeric_load/router_directory.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace turmeric::load
{

/// The objects that all callers of a run share. They outlive the callers.
struct caller_dependencies
{
    const load_options& options;
    event_loop& loop;
    router_directory& routers;
    load_report& report;
    /// Returns the next request, or no value once the run starts no more
    /// requests.
    std::function<std::optional<request_plan>()> next_request;
};

/// Simulates one caller: sends one request after another, retries failed
/// attempts and checks the responses. Not thread safe.
class caller final : public event_handler
{
public:
    /// `number` identifies the caller within the run; `is_slow` makes it read
    /// at the rate of slow readers.
    caller(caller_dependencies dependencies, std::uint64_t number,
           bool is_slow);

    /// Starts the first request.
    void start(loop_time now);

    /// Tells whether all requests of this caller have ended.
    [[nodiscard]] bool is_done() const;

    void on_socket(loop_time now) override;
    void on_timer(loop_time now) override;

private:
    enum class state
    {
        exchanging,
        waiting,
        done,
    };

    void start_request(loop_time now);
    void start_attempt(loop_time now);
    void read_response(loop_time now);
    void record_text(loop_time now);
    void finish_response(loop_time now);
    void handle_disconnect(transfer_result how, loop_time now);
    void finish_attempt(request_result result, loop_time now);
    void pause_reading(loop_time now);
    void close();
    [[nodiscard]] request_result classify_result() const;
    [[nodiscard]] bool is_retryable(request_result result) const;
    [[nodiscard]] std::size_t max_read_bytes() const;
    std::uint64_t next_random();

    caller_dependencies m_dependencies;
    std::uint64_t m_number;
    std::uint64_t m_random_count = 0;
    bool m_is_slow;
    state m_state = state::exchanging;
    std::optional<request_plan> m_plan;
    std::optional<response_body_reader> m_response;
    response_parser m_parser;
    connection m_connection;
    std::string m_buffer;
    std::string m_avoided_address;
    int m_attempts = 0;
    /// Whether the connection carried an earlier request.
    bool m_is_connection_reused = false;
    bool m_is_sent = false;
    bool m_has_text = false;
    bool m_is_reading_paused = false;
    loop_time m_started_at{};
    loop_time m_last_text_at{};
    loop_time m_last_byte_at{};
};

} // namespace turmeric::load
