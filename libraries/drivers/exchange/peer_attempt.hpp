#pragma once

#include "libraries/drivers/exchange/exchange.hpp"
#include "libraries/ports/upstream_transport.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace turmeric::drivers
{

/// One attempt to send a request through a peer, which handles it like a
/// caller's request: it chooses the upstream, holds the prepaid tokens and
/// settles them. Its failures say nothing about upstreams, so none is recorded
/// as theirs, and it takes no slot of an upstream. Used on the traffic thread
/// only.
class peer_attempt final : public ports::call_listener,
                           public std::enable_shared_from_this<peer_attempt>
{
public:
    /// Precondition: `state` outlives the attempt.
    peer_attempt(traffic_state& state, std::weak_ptr<exchange> owner);

    /// Starts the call to the peer. Called once. Traffic thread.
    void begin(ports::outgoing_call call);

    /// Closes the connection to the peer, which then cancels its own call to
    /// the upstream; the exchange gets no further report. Traffic thread.
    void cancel();

    /// Requests the next part of the response. Traffic thread.
    void read_more();

    void on_head(const ports::response_head& head) override;
    void on_part(std::string part) override;
    void on_end() override;
    void on_failure(ports::transport_failure failure) override;

private:
    /// How the body is handled; selected by the head.
    struct body_handler
    {
        void (peer_attempt::*on_part)(exchange&, std::string&&);
        void (peer_attempt::*on_end)(exchange&);
    };

    static const body_handler refusal_handler;
    static const body_handler error_handler;
    static const body_handler buffering_handler;
    static const body_handler relaying_handler;
    static const body_handler event_handler;

    void buffer_part(exchange& owner, std::string&& part);
    void count_held_bytes(std::size_t bytes);
    void buffer_or_relay_part(exchange& owner, std::string&& part);
    void relay_part(exchange& owner, std::string&& part);
    void relay_events(exchange& owner, std::string&& part);
    void finish_refusal(exchange& owner);
    void finish_error(exchange& owner);
    void finish_buffered(exchange& owner);
    void finish_relayed(exchange& owner);
    void finish_events(exchange& owner);
    /// Closes the connection and handles the response as a failed one.
    void abandon(exchange& owner);
    /// Handles the end of the call before the response was complete.
    void report_failure(exchange& owner, ports::transport_failure failure);
    /// Logs that the response of the peer broke, and why.
    void log_broken_call(const exchange& owner,
                         ports::transport_failure failure) const;
    void count_result(const exchange& owner, std::string_view result);
    [[nodiscard]] std::shared_ptr<exchange> current_owner();

    traffic_state& m_state;
    std::weak_ptr<exchange> m_owner;
    std::string m_peer_address;
    std::shared_ptr<ports::upstream_call> m_call;
    std::optional<ports::response_head> m_head;
    response_classification m_classification;
    const body_handler* m_body_handler = nullptr;
    std::string m_buffered_body;
    /// Whether an event of the response has been passed on.
    bool m_has_event = false;
    /// The memory of the buffered body, or of the incomplete event.
    memory_reservation m_memory;
    bool m_is_finished = false;
};

} // namespace turmeric::drivers
