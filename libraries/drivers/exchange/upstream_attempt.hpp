#pragma once

#include "libraries/domain/placement/upstream_load_balancer.hpp"
#include "libraries/drivers/exchange/exchange.hpp"
#include "libraries/ports/upstream_transport.hpp"

#include <memory>
#include <optional>
#include <string>

namespace turmeric::drivers
{

/// One attempt to send a request to one upstream. Reads the response and
/// reports its result to the exchange, as long as it is the exchange's current
/// attempt. Used on the traffic thread only.
class upstream_attempt final
    : public ports::call_listener,
      public std::enable_shared_from_this<upstream_attempt>
{
public:
    /// Precondition: `state` outlives the attempt.
    upstream_attempt(traffic_state& state, std::weak_ptr<exchange> owner,
                     domain::placement chosen_placement,
                     const domain::caller_route& route,
                     ports::steady_time sent_at);

    /// Starts the call to the upstream. Called once.
    void begin(ports::outgoing_call call);

    /// Closes the connection to the upstream and releases its slot; the
    /// exchange gets no further report.
    void cancel();

    /// Requests the next part of a streamed response.
    void read_more();

    /// Records that the request's deadline has passed. `cancel` follows.
    void record_timeout();

    /// Returns the upstream that the request was sent to.
    [[nodiscard]] const domain::placement& chosen_placement() const;

    /// Returns whether the head of the response has arrived.
    [[nodiscard]] bool has_head() const;

    void on_head(const ports::response_head& head) override;
    void on_part(std::string part) override;
    void on_end() override;
    void on_failure(ports::transport_failure failure) override;

private:
    /// How the body is handled; selected by the head.
    struct body_handler
    {
        void (upstream_attempt::*on_part)(exchange&, std::string&&);
        void (upstream_attempt::*on_end)(exchange&);
    };

    static const body_handler not_executed_handler;
    static const body_handler error_handler;
    static const body_handler buffering_handler;
    static const body_handler relaying_handler;
    static const body_handler event_handler;

    void discard_part(exchange& owner, std::string&& part);
    void buffer_part(exchange& owner, std::string&& part);
    void count_held_bytes(std::size_t bytes);
    void buffer_or_relay_part(exchange& owner, std::string&& part);
    void relay_part(exchange& owner, std::string&& part);
    void relay_events(exchange& owner, std::string&& part);
    /// Closes the connection and handles the response as a failed one.
    void abandon(exchange& owner, std::string_view result);
    void finish_not_executed(exchange& owner);
    void finish_error(exchange& owner);
    void finish_buffered(exchange& owner);
    void finish_relayed(exchange& owner);
    void finish_events(exchange& owner);

    /// Releases the slot of the upstream and places the requests that wait for
    /// one; has no effect when called again.
    void release_slot();
    /// Records the result in the metrics and the load balancer, which may eject
    /// the upstream. `is_success` is true also if the upstream states that it
    /// did not run the request.
    void record_outcome(bool is_success, std::string_view result);
    // upstream_attempt_observations.cpp: what the response and its end tell of
    // the upstream.
    /// Records the outcome for the upstream's version, once; `is_success` is
    /// nothing if the request was given up.
    void record_version(std::optional<bool> is_success);
    /// Returns the time to the first output, or until now if there was none,
    /// divided by the predicted time where there is a prediction.
    [[nodiscard]] std::optional<double> relative_time() const;
    /// Records the request and the parts of its prompt as suspects if the
    /// upstream ended as it began this response.
    void record_upstream_end(const exchange& owner);
    /// Records that the upstream began this response and has not ended.
    void record_survived_beginning(const exchange& owner);
    /// Records that the upstream completed a response that is no stream.
    void record_complete_response(const exchange& owner);
    /// Returns whether the response has not begun, or only just.
    [[nodiscard]] bool is_beginning() const;
    /// Reads the limit that the upstream names in its response, if any.
    /// `is_success` is whether the response shows that it names none.
    void record_rate_limit(const ports::response_head& head, bool is_success);
    /// Reads what the upstream says of itself in its response.
    void record_notices(const ports::response_head& head);
    void record_leaving(const ports::response_head& head);
    void record_pause(const ports::response_head& head);
    void record_brittle(const ports::response_head& head);
    /// Counts and logs a notice that is malformed.
    void reject_notice(const std::string& notice, const error& failure);
    /// Closes the idle connections to the upstream if it is leaving.
    void close_connections_if_leaving();
    /// Logs how far the response was when the connection ended, and why the
    /// response counts as broken (`cause`).
    void log_broken_call(const exchange& owner, std::string_view cause,
                         ports::transport_failure failure) const;
    [[nodiscard]] std::shared_ptr<exchange> current_owner();

    traffic_state& m_state;
    std::weak_ptr<exchange> m_owner;
    domain::placement m_chosen_placement;
    /// The name of the request's route.
    std::string m_route;
    bool m_is_stream;
    ports::steady_time m_sent_at;
    std::shared_ptr<ports::upstream_call> m_call;
    std::optional<ports::response_head> m_head;
    const body_handler* m_body_handler = nullptr;
    /// Bytes of the body of a response that did not run the request.
    std::size_t m_discarded_bytes = 0;
    std::string m_buffered_body;
    /// The memory of the buffered body, or of the incomplete event.
    memory_reservation m_memory;
    /// When the first output arrived.
    std::optional<ports::steady_time> m_output_since;
    bool m_has_survived_beginning = false;
    bool m_has_slot = true;
    bool m_is_finished = false;
    bool m_is_version_recorded = false;
};

} // namespace turmeric::drivers
