#pragma once

#include "utilities/turmeric_load/answer_reader.hpp"
#include "utilities/turmeric_load/connection.hpp"
#include "utilities/turmeric_load/event_loop.hpp"
#include "utilities/turmeric_load/load_options.hpp"
#include "utilities/turmeric_load/load_report.hpp"
#include "utilities/turmeric_load/reply_parser.hpp"
#include "utilities/turmeric_load/request_plan.hpp"
#include "utilities/turmeric_load/router_directory.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace turmeric::load
{

/// What all callers of a run share. All outlive the callers.
struct caller_parts
{
    const load_options& options;
    event_loop& loop;
    router_directory& routers;
    load_report& report;
    /// Returns the next request, or nothing when the run is over.
    std::function<std::optional<request_plan>()> next_request;
};

/// Sends one request after the other and checks the answers. Not thread
/// safe.
class caller final : public event_handler
{
public:
    /// `number` tells callers apart.
    caller(caller_parts parts, std::uint64_t number, bool is_slow);

    /// Begins the first request.
    void start(loop_time now);

    /// Tells whether there is nothing left to do.
    [[nodiscard]] bool is_done() const;

    void on_socket(loop_time now) override;
    void on_timer(loop_time now) override;

private:
    enum class state
    {
        working,
        pausing,
        done,
    };

    void begin_request(loop_time now);
    void begin_try(loop_time now);
    void read_reply(loop_time now);
    void note_text(loop_time now);
    void end_reply(loop_time now);
    void end_connection(loop_time now);
    void end_try(request_end end, loop_time now);
    void pause_reading(loop_time now);
    void close();
    [[nodiscard]] request_end judge() const;
    [[nodiscard]] bool is_worth_retrying(request_end end) const;
    [[nodiscard]] std::size_t read_limit() const;
    std::uint64_t draw();

    caller_parts m_parts;
    std::uint64_t m_number;
    std::uint64_t m_draws = 0;
    bool m_is_slow;
    state m_state = state::working;
    std::optional<request_plan> m_plan;
    std::optional<answer_reader> m_answer;
    reply_parser m_parser;
    connection m_connection;
    std::string m_buffer;
    std::string m_avoided;
    int m_tries = 0;
    /// The connection carried a request before this one.
    bool m_is_reused = false;
    bool m_is_sent = false;
    bool m_has_text = false;
    bool m_is_reading_paused = false;
    loop_time m_begun{};
    loop_time m_last_text{};
    loop_time m_last_byte{};
};

} // namespace turmeric::load
