#pragma once

#include "libraries/domain/callers/caller_request.hpp"
#include "libraries/domain/streaming/event_splitter.hpp"
#include "libraries/drivers/exchange/traffic_state.hpp"
#include "libraries/ports/request_body.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace turmeric::drivers
{

class peer_attempt;
class upstream_attempt;

/// The stages of a request.
enum class exchange_phase : std::uint8_t
{
    waiting_for_tokens,
    /// No slot of an upstream has been reserved yet.
    waiting_for_place,
    /// An attempt has started. Also applies while another upstream resumes a
    /// response that has started.
    sent,
    /// The response is being forwarded to the caller as it arrives.
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

/// Handles one caller's request until its response has ended: holds prepaid
/// tokens of the account, chooses an upstream, sends the request, retries it
/// where that is allowed, and forwards the response. Used on the traffic thread
/// only.
class exchange final : public ports::exchange_in_flight,
                       public std::enable_shared_from_this<exchange>
{
public:
    /// A request together with the objects that were looked up for it.
    struct request_context
    {
        /// Unique among the exchanges of this router process.
        std::uint64_t exchange_id = 0;
        ports::received_request request;
        domain::caller_request parsed_request;
        /// The configuration of this request until it ends, even if a newer
        /// one comes into force.
        std::shared_ptr<const domain::route_table> routes;
        const domain::caller_route* route = nullptr;
        /// Null on public routes.
        const domain::caller_account* account = nullptr;
        std::shared_ptr<ports::caller_channel> channel;
    };

    /// Precondition: `state` outlives the exchange.
    exchange(traffic_state& state, request_context context);
    ~exchange() override;

    /// Starts to handle the request. Called once.
    void start();

    void on_caller_disconnected(ports::close_reason reason) override;

    /// Tries again to hold tokens, for example after a grant. Returns false if
    /// the request still waits for tokens.
    bool retry_hold();

    /// Refuses the request if it waits for tokens.
    void refuse_for_tokens();

    /// Tries to place the request on an upstream. Returns false if no upstream
    /// has a free slot. Returns true if the request was sent, or was ended
    /// because no upstream can serve it.
    bool try_place();

    /// Returns what tells the request from others: a digest of its method,
    /// host, path with query, client account and body. Its repeats have the
    /// same.
    [[nodiscard]] std::uint64_t fingerprint() const;

    /// Returns the parts of the request's prompt that may be suspects, and the
    /// request itself if whole requests matter now.
    [[nodiscard]] const std::vector<domain::suspect_id>& suspect_ids() const;

    /// Returns the same, with the request itself in any case.
    [[nodiscard]] const std::vector<domain::suspect_id>&
    all_suspect_ids() const;

    /// Returns how many prepaid tokens must be held for the request: its
    /// maximum consumption, or 0 if it is not charged to prepaid tokens.
    [[nodiscard]] std::int64_t needed_tokens() const;

    /// Gives up this exchange's hold on the request's body if it cannot be
    /// sent again after the head of a response. `is_not_executed` is whether
    /// the response states that the request did not run.
    void release_body(bool is_not_executed);

private:
    friend class peer_attempt;
    friend class upstream_attempt;

    // exchange_admission.cpp: holding tokens, waiting for a slot, deadlines.
    /// Refuses the request, or ends its response, if it or a part of its prompt
    /// crashes upstreams. Returns whether it did.
    bool refuse_blocked_request();
    void hold_tokens();
    /// Returns why the request cannot get tokens, or nothing if it may wait
    /// for them. `may_hold` is whether the pacing of a store outage permits a
    /// hold now.
    [[nodiscard]] std::optional<error> find_token_refusal(bool may_hold) const;
    void wait_for_tokens();
    void place_or_wait();
    /// Adds the request to the queue, or fails it if all upstreams limit their
    /// requests so much that it would not be sent in time.
    void wait_for_place();
    [[nodiscard]] bool is_limited_beyond_deadline() const;
    /// Returns whether all upstreams pause for longer than the request may
    /// wait.
    [[nodiscard]] bool is_paused_beyond_deadline() const;
    void on_deadline();
    void schedule(ports::steady_time at);
    [[nodiscard]] ports::steady_time queue_deadline() const;
    [[nodiscard]] std::int32_t urgency() const;
    [[nodiscard]] domain::placement_request make_placement_request() const;
    /// Chooses an upstream, of a version that is tried out if it is the
    /// route's turn.
    [[nodiscard]] domain::placement_choice
    choose_upstream(const domain::upstream_service& service) const;
    [[nodiscard]] const std::string& pick_service() const;

    // exchange_attempts.cpp: attempts and retries.
    void start_attempt(const domain::placement& chosen_placement);
    void on_not_connected();
    void on_not_executed();
    void on_transport_failure(ports::transport_failure failure);
    void on_error_response(const ports::response_head& head, std::string body);
    [[nodiscard]] bool may_retry() const;
    bool try_retry(std::string_view reason);
    void place_again();
    /// Adds the head and the body of the request to a call.
    void add_request(ports::outgoing_call& call, std::string head) const;
    /// Returns how many upstreams the request may still be sent to.
    [[nodiscard]] std::int32_t attempts_left() const;

    // exchange_forwarding.cpp: sending the request through a peer.
    /// Forwards or fails the request if this router has lost its paths to the
    /// upstreams of the service. Returns whether it did.
    bool forward_if_cut_off();
    /// Forwards the request to a peer that reaches the service. Returns false
    /// if that is not allowed or there is no such peer.
    bool try_forward(std::string_view reason);
    [[nodiscard]] bool may_forward() const;
    void start_peer_attempt(const std::string& peer_address,
                            std::string_view reason);
    /// Settles the held tokens, since the peer holds its own for the request.
    /// Returns whether there were any.
    bool settle_held_tokens();
    void on_peer_not_connected();
    void on_peer_refusal(const ports::response_head& head, std::string body,
                         bool is_not_sent);
    void on_incomplete_peer_refusal();
    void on_peer_error_response(const ports::response_head& head,
                                std::string body, bool is_forwardable);
    void on_peer_failure();
    [[nodiscard]] bool may_try_another_peer() const;

    // exchange_response.cpp: responses to the caller, and the end.
    /// Returns the head for the caller, or for the peer that has forwarded the
    /// request.
    [[nodiscard]] ports::response_head
    make_caller_head(const ports::response_head& head) const;
    void on_complete_response(const ports::response_head& head,
                              std::string body);
    void on_stream_end();
    /// Returns whether a response may go on with the stream that has begun: it
    /// has the same status and media type. Precondition: a response has begun.
    [[nodiscard]] bool is_continuation(const ports::response_head& head) const;
    void on_part_written();
    void on_body_part(const ports::response_head& head, std::string part);
    void refuse(error failure);
    /// Returns how far the request has come if it is refused now.
    [[nodiscard]] refusal_stage stage_of(const error& failure) const;
    void fail(result_code code, const std::string& detail);
    /// Returns after which time the caller should try again.
    [[nodiscard]] std::chrono::milliseconds retry_after() const;
    void add_token_fields(std::vector<log_field>& fields) const;
    void abort_response(const std::string& reason);
    void record_first_byte();
    void end(const std::string& outcome);
    [[nodiscard]] std::int64_t consumed_tokens() const;
    [[nodiscard]] std::chrono::milliseconds
    time_since_arrival(ports::steady_time now) const;

    traffic_state& m_state;
    request_context m_context;
    memory_reservation m_memory;
    /// The body of the request; null once it cannot be sent again.
    std::shared_ptr<const ports::request_body> m_body;
    ports::steady_time m_deadline;
    exchange_phase m_phase = exchange_phase::waiting_for_tokens;
    std::optional<ports::steady_time> m_token_wait_deadline;
    std::unique_ptr<ports::timer> m_timer;
    std::shared_ptr<upstream_attempt> m_attempt;
    /// Set once the request has been forwarded; then `m_attempt` is null.
    std::shared_ptr<peer_attempt> m_peer_attempt;
    std::set<std::string> m_tried_upstreams;
    /// Caller addresses.
    std::set<std::string> m_tried_peers;
    std::string m_service;
    std::int64_t m_held_tokens = 0;
    /// Attempts so far; those whose connection failed do not count.
    std::int32_t m_attempt_count = 0;
    std::int32_t m_failed_connects = 0;
    std::int32_t m_peer_refusals = 0;
    /// Whether an upstream may have begun to work on the request.
    bool m_may_have_run = false;
    /// The value of `m_may_have_run` before the current attempt.
    bool m_may_have_run_before_attempt = false;
    bool m_is_response_started = false;
    /// Status and media type of the response that has begun, if one has.
    int m_status = 0;
    std::string m_media_type;
    /// Set when the caller's connection was closed before the response ended.
    std::optional<ports::close_reason> m_close_reason;
    /// Whether the request tries out a blocked suspect.
    bool m_is_trial = false;
    /// Computed when it is needed first.
    mutable std::optional<std::uint64_t> m_fingerprint;
    /// Whether `m_suspect_ids` has the request itself; it comes last.
    mutable bool m_has_request_id = false;
    mutable std::vector<domain::suspect_id> m_suspect_ids;
    std::optional<std::chrono::milliseconds> m_time_to_first_byte;
    domain::event_splitter m_events;
};

} // namespace turmeric::drivers
