#include "libraries/drivers/exchange/exchange.hpp"
#include "libraries/drivers/exchange/peer_attempt.hpp"
#include "libraries/drivers/exchange/peer_choice.hpp"
#include "libraries/drivers/exchange/upstream_attempt.hpp"

#include <utility>

namespace turmeric::drivers
{

namespace
{

/// A request is sent to at most this number of peers. Only a connection that
/// was not established, or a refusal, leads to another one.
constexpr std::size_t max_peers = 3;
constexpr std::int32_t max_peer_refusals = 1;
/// Time that must be left until the deadline; with less, the peer could hardly
/// complete the request.
constexpr std::chrono::milliseconds min_time_to_forward{50};
constexpr std::chrono::milliseconds peer_retry_after{250};
/// A request that a peer has refused goes to another peer only within its
/// objective divided by this number.
constexpr int refused_time_divisor = 2;

/// Returns whether the peer refused what this router's configuration allows.
bool is_configuration_refusal(int status)
{
    constexpr int unauthorized = 401;
    constexpr int not_found = 404;
    return status == unauthorized || status == not_found;
}

} // namespace

bool exchange::forward_if_cut_off()
{
    if (!m_state.paths.is_cut_off(m_service,
                                  m_state.dependencies.clock.steady_now()))
    {
        return false;
    }
    if (try_forward("cut_off"))
    {
        return true;
    }
    const bool is_forwarded =
        m_context.parsed_request.forwarded_attempts.has_value();
    if (!is_forwarded && m_state.paths.may_be_slow(m_service))
    {
        // No router is better off, so the upstreams are rather slow.
        return false;
    }
    fail(result_code::no_upstream,
         "this router reaches no upstream of the service, and no peer may send "
         "the request");
    return true;
}

bool exchange::may_forward() const
{
    const domain::caller_route& route = *m_context.route;
    if (m_context.parsed_request.forwarded_attempts || m_close_reason ||
        m_tried_peers.size() >= max_peers || attempts_left() <= 0 ||
        m_state.overload.is_overloaded())
    {
        // An overloaded router reaches peers no better than upstreams, and the
        // request would pass its link once more.
        return false;
    }
    if (m_may_have_run && !route.is_repeatable())
    {
        return false;
    }
    // The peer chooses among the services of the route by itself, but a stream
    // that has started can be resumed by its own service only.
    const bool is_resumable = route.kind == domain::request_kind::streaming &&
                              route.is_resumable && route.services.size() == 1;
    if (m_is_response_started && !is_resumable)
    {
        return false;
    }
    return m_state.dependencies.clock.steady_now() + min_time_to_forward <
           m_deadline;
}

bool exchange::try_forward(std::string_view reason)
{
    if (!may_forward())
    {
        return false;
    }
    const std::optional<std::string> peer_address =
        choose_peer(m_state.fleet.peer_paths,
                    {m_service, m_state.settings.data_centre, m_tried_peers},
                    m_state.dependencies.random);
    if (!peer_address)
    {
        return false;
    }
    const bool has_settled = settle_held_tokens();
    start_peer_attempt(*peer_address, reason);
    if (has_settled)
    {
        m_state.retry_holds(m_context.account->name);
    }
    return true;
}

void exchange::start_peer_attempt(const std::string& peer_address,
                                  std::string_view reason)
{
    m_phase = exchange_phase::sent;
    m_attempt.reset();
    m_tried_peers.insert(peer_address);
    m_may_have_run_before_attempt = m_may_have_run;
    m_may_have_run = true;

    forwarding_metadata metadata;
    metadata.peer_address = peer_address;
    metadata.time_left = std::chrono::duration_cast<std::chrono::milliseconds>(
        m_deadline - m_state.dependencies.clock.steady_now());
    metadata.attempts_left = attempts_left();
    metadata.resume_after = m_events.last_id();

    ports::outgoing_call call;
    call.address = peer_address;
    add_request(call,
                m_state.dependencies.dialect.write_forwarded_request(
                    m_context.request.head, m_body->bytes.size(), metadata));
    call.echoed_field_name = m_state.dependencies.dialect.echoed_field_name();
    call.echoed_field_value = m_context.parsed_request.id;
    call.connect_timeout = m_state.settings.connect_timeout;
    call.max_idle = m_context.route->is_repeatable()
                        ? m_state.settings.max_idle_repeatable
                        : m_state.settings.max_idle_non_repeatable;

    m_state.dependencies.log.write(
        log_level::info, log_event::request_forwarded,
        {{"request_id", m_context.parsed_request.id},
         {"peer", peer_address},
         {"service", m_service},
         {"reason", std::string(reason)},
         {"sends", static_cast<std::int64_t>(m_attempt_count)},
         {"last_event", m_events.last_id().value_or(-1)}});
    schedule(m_deadline);
    m_peer_attempt = std::make_shared<peer_attempt>(m_state, weak_from_this());
    m_peer_attempt->begin(std::move(call));
}

bool exchange::settle_held_tokens()
{
    if (m_held_tokens == 0)
    {
        return false;
    }
    m_state.ledger.settle(m_context.account->name, m_held_tokens,
                          consumed_tokens());
    m_held_tokens = 0;
    return true;
}

bool exchange::may_try_another_peer() const
{
    return m_peer_refusals <= max_peer_refusals &&
           m_state.dependencies.clock.steady_now() <
               m_context.request.arrived_at +
                   m_context.route->objective / refused_time_divisor;
}

void exchange::on_peer_not_connected()
{
    // Nothing of the request reached the peer.
    m_may_have_run = m_may_have_run_before_attempt;
    if (!try_forward("peer_not_connected"))
    {
        fail(result_code::no_upstream,
             "no connection to a peer could be established");
    }
}

void exchange::on_incomplete_peer_refusal()
{
    m_may_have_run = m_may_have_run_before_attempt;
    fail(result_code::upstream_overloaded, "the peer refused the request");
}

void exchange::on_peer_refusal(const ports::response_head& head,
                               std::string body, bool is_not_sent)
{
    m_may_have_run = m_may_have_run_before_attempt;
    ++m_peer_refusals;
    constexpr int unavailable = 503;
    const bool is_other_configuration = is_configuration_refusal(head.status);
    const bool may_differ_elsewhere =
        is_not_sent && (head.status == unavailable || is_other_configuration);
    if (may_differ_elsewhere && may_try_another_peer() &&
        try_forward("peer_refused"))
    {
        return;
    }
    if (m_may_have_run || m_is_response_started || is_other_configuration)
    {
        fail(result_code::upstream_overloaded, "the peer refused the request");
        return;
    }
    m_context.channel->send_response(make_caller_head(head), std::move(body));
    end("peer_refused");
}

void exchange::on_peer_error_response(const ports::response_head& head,
                                      std::string body, bool is_forwardable)
{
    if (m_is_response_started)
    {
        abort_response(
            "the peer returned an error when the stream was resumed");
        return;
    }
    if (!is_forwardable)
    {
        fail(result_code::upstream_failed,
             "the peer's response cannot be forwarded");
        return;
    }
    on_complete_response(head, std::move(body));
}

void exchange::on_peer_failure()
{
    m_events.drop_partial();
    fail(result_code::upstream_failed,
         "the call to the peer failed before its response was complete");
}

} // namespace turmeric::drivers
