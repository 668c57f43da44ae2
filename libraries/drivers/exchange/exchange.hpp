#pragma once

#include "libraries/domain/callers/caller_request.hpp"
#include "libraries/domain/streaming/event_splitter.hpp"
#include "libraries/drivers/exchange/traffic_state.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace turmeric::drivers
{

class upstream_attempt;

/// Where a request stands.
enum class exchange_phase : std::uint8_t
{
    waiting_for_tokens,
    waiting_for_place,
    sent,
    relaying,
    ended,
};

/// Returns the phase's name. Thread safe.
[[nodiscard]] constexpr std::string_view name_of(exchange_phase value)
{
    switch (value)
    {
    case exchange_phase::waiting_for_tokens:
        return "waiting_for_tokens";
    case exchange_phase::waiting_for_place:
        return "waiting_for_place";
    case exchange_phase::sent:
        return "sent";
    case exchange_phase::relaying:
        return "relaying";
    case exchange_phase::ended:
        return "ended";
    }
    return "unknown";
}

/// One caller's request on its way: held against the account's tokens,
/// placed, sent, repeated where that is allowed, and answered. Used on the
/// traffic thread only.
class exchange final : public ports::exchange_in_flight,
                       public std::enable_shared_from_this<exchange>
{
public:
    /// What was found out about a request before it is answered.
    struct subject
    {
        std::uint64_t number = 0;
        ports::received_request request;
        domain::caller_request read;
        /// Kept in force for this request until it ends.
        std::shared_ptr<const domain::route_table> routes;
        const domain::caller_route* route = nullptr;
        /// Null on public routes.
        const domain::caller_account* account = nullptr;
        std::shared_ptr<ports::caller_channel> channel;
    };

    /// Precondition: `state` outlives the exchange.
    exchange(traffic_state& state, subject about);
    ~exchange() override;

    /// Starts to answer. Called once.
    void start();

    void on_caller_disconnected() override;

    /// Tries to hold tokens again after a grant; false when it still waits.
    bool retry_hold();

    /// Tries to find a place; false when there is still none.
    bool try_place();

    /// Returns the tokens that the request needs, 0 where it needs none.
    [[nodiscard]] std::int64_t needed_tokens() const;

private:
    friend class upstream_attempt;

    // exchange_start.cpp: tokens, place, deadline.
    void hold_tokens();
    /// Returns why no tokens will come, or nothing when some may.
    [[nodiscard]] std::optional<error> find_token_refusal(bool may_draw) const;
    void wait_for_tokens();
    void seek_place();
    void wait_in_line();
    void on_deadline();
    void schedule(ports::steady_time at);
    [[nodiscard]] ports::steady_time line_deadline() const;
    [[nodiscard]] std::int32_t urgency() const;
    [[nodiscard]] domain::placement_request placement() const;
    [[nodiscard]] const std::string& pick_service() const;

    // exchange_send.cpp: one attempt after the other.
    void send_to(const domain::placement& chosen);
    void on_not_connected();
    void on_not_executed();
    void on_broken(ports::transport_failure failure);
    void on_upstream_failure(const ports::response_head& head,
                             std::string body);
    [[nodiscard]] bool may_send_again() const;
    bool repeat_elsewhere(std::string_view reason);
    void place_again();

    // exchange_answer.cpp: what the caller gets.
    void on_whole_answer(const ports::response_head& head, std::string body);
    void on_stream_end();
    void on_part_written();
    void on_body_part(const ports::response_head& head, std::string part);
    void refuse(error failure);
    void fail(result_code code, const std::string& detail);
    void add_token_inputs(std::vector<log_field>& fields) const;
    void abort_response(const std::string& reason);
    void note_first_byte();
    void end(const std::string& outcome);
    [[nodiscard]] std::int64_t consumed_tokens() const;
    [[nodiscard]] std::chrono::milliseconds
    since_arrival(ports::steady_time now) const;

    traffic_state& m_state;
    subject m_subject;
    ports::steady_time m_deadline;
    exchange_phase m_phase = exchange_phase::waiting_for_tokens;
    std::optional<ports::steady_time> m_tokens_deadline;
    std::unique_ptr<ports::timer> m_timer;
    std::shared_ptr<upstream_attempt> m_attempt;
    std::set<std::string> m_tried;
    std::string m_service;
    std::int64_t m_held = 0;
    std::int32_t m_sends = 0;
    std::int32_t m_failed_connects = 0;
    /// Whether an upstream may have begun to work on the request.
    bool m_may_have_run = false;
    /// The same, before the present sending.
    bool m_may_have_run_before = false;
    bool m_is_answer_started = false;
    bool m_is_caller_gone = false;
    std::optional<std::chrono::milliseconds> m_first_byte;
    domain::event_splitter m_events;
};

} // namespace turmeric::drivers
