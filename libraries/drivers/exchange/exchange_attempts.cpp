#include "libraries/drivers/exchange/exchange.hpp"
#include "libraries/drivers/exchange/upstream_attempt.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::drivers
{

namespace
{

/// A request fails after this number of failed connections.
constexpr std::int32_t max_failed_connects = 3;
/// One failed connection rather shows that the upstream has ended.
constexpr std::int32_t min_failed_connects_to_forward = 2;
/// Time that must be left until the deadline for a retry; with less, it could
/// hardly complete.
constexpr std::chrono::milliseconds min_time_for_retry{50};
constexpr std::chrono::milliseconds overload_retry_after{250};

} // namespace

void exchange::start_attempt(const domain::placement& chosen_placement)
{
    const ports::steady_time now = m_state.dependencies.clock.steady_now();
    m_phase = exchange_phase::sent;
    m_tried_upstreams.insert(chosen_placement.upstream.id);
    ++m_attempt_count;
    m_may_have_run_before_attempt = m_may_have_run;
    m_may_have_run = true;

    upstream_request_metadata metadata;
    metadata.upstream_id = chosen_placement.upstream.id;
    metadata.account =
        m_context.account == nullptr ? std::string() : m_context.account->name;
    metadata.time_left =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - now);
    metadata.urgency = urgency();
    metadata.resume_after = m_events.last_id();

    ports::outgoing_call call;
    call.address = chosen_placement.upstream.address;
    add_request(call,
                m_state.dependencies.dialect.write_request(
                    m_context.request.head, m_body->bytes.size(), metadata));
    call.echoed_field_name = m_state.dependencies.dialect.echoed_field_name();
    call.echoed_field_value = m_context.parsed_request.id;
    call.connect_timeout = m_state.settings.connect_timeout;
    call.max_idle = m_context.route->is_repeatable()
                        ? m_state.settings.max_idle_repeatable
                        : m_state.settings.max_idle_non_repeatable;

    m_state.rate_limits.note_sent(
        domain::incarnation_of(chosen_placement.upstream), now);
    if (m_state.cold.note_sent(
            domain::incarnation_of(chosen_placement.upstream), now))
    {
        m_state.dependencies.metrics.cold_requests.with_labels({m_service})
            .add();
        m_state.schedule_pause_end();
    }
    m_state.load_balancer.note_sent(chosen_placement,
                                    m_context.parsed_request.prompt
                                        ? &*m_context.parsed_request.prompt
                                        : nullptr,
                                    now);
    m_state.versions.record_sent(m_service, chosen_placement.upstream.version,
                                 m_context.route->name);
    m_state.dependencies.log.write(
        log_level::debug, log_event::request_placed,
        {{"request_id", m_context.parsed_request.id},
         {"upstream", chosen_placement.upstream.id},
         {"service", m_service},
         {"attempt", static_cast<std::int64_t>(m_attempt_count)},
         {"tokens_to_read", chosen_placement.tokens_to_read},
         {"cost", chosen_placement.cost},
         {"expected_ms",
          static_cast<std::int64_t>(chosen_placement.expected.count())}});
    schedule(m_deadline);
    m_attempt = std::make_shared<upstream_attempt>(
        m_state, weak_from_this(), chosen_placement, *m_context.route, now);
    m_attempt->begin(std::move(call));
}

void exchange::add_request(ports::outgoing_call& call, std::string head) const
{
    call.bytes = std::move(head);
    if (!m_body->bytes.empty())
    {
        call.body = m_body;
    }
    call.memory =
        memory_reservation(m_state.dependencies.memory, memory_kind::calls);
    call.memory.resize(static_cast<std::int64_t>(call.bytes.size()));
}

void exchange::release_body(bool is_not_executed)
{
    const bool may_repeat = is_not_executed || m_context.route->is_repeatable();
    if (m_body == nullptr || (may_repeat && attempts_left() > 0))
    {
        return;
    }
    // The fingerprint cannot be computed later, and the body of most requests
    // is not worth its computation.
    constexpr std::size_t min_released_bytes = 64 << 10;
    if (m_body->bytes.size() >= min_released_bytes)
    {
        static_cast<void>(fingerprint());
        m_body.reset();
    }
}

std::uint64_t exchange::fingerprint() const
{
    if (!m_fingerprint)
    {
        const std::string_view account = m_context.account == nullptr
                                             ? std::string_view()
                                             : m_context.account->name;
        m_fingerprint = m_state.dependencies.digest.digest_of(
            {m_context.request.head.method, m_context.parsed_request.host,
             m_context.request.head.target, account, m_body->bytes});
    }
    return *m_fingerprint;
}

const std::vector<domain::suspect_id>& exchange::suspect_ids() const
{
    return m_state.crashing_parts.has_suspect_requests() ? all_suspect_ids()
                                                         : m_suspect_ids;
}

const std::vector<domain::suspect_id>& exchange::all_suspect_ids() const
{
    if (!m_has_request_id)
    {
        m_has_request_id = true;
        m_suspect_ids.push_back({domain::suspect_kind::request, fingerprint()});
    }
    return m_suspect_ids;
}

bool exchange::may_retry() const
{
    const ports::steady_time now = m_state.dependencies.clock.steady_now();
    const std::vector<domain::suspect_id>& ids =
        m_state.unconfirmed.empty() ? suspect_ids() : all_suspect_ids();
    const bool is_suspect =
        !m_state.crashing_parts.may_retry(ids, m_state.unconfirmed.count(ids));
    return !m_is_trial && !is_suspect && attempts_left() > 0 &&
           now + min_time_for_retry < m_deadline && !m_close_reason;
}

std::int32_t exchange::attempts_left() const
{
    const std::int32_t allowed = m_context.route->max_attempts;
    return std::min(
               allowed,
               m_context.parsed_request.forwarded_attempts.value_or(allowed)) -
           m_attempt_count;
}

bool exchange::try_retry(std::string_view reason)
{
    if (!may_retry() || !m_state.retry_limiter.try_acquire(
                            m_service, m_state.dependencies.clock.steady_now()))
    {
        return false;
    }
    m_state.dependencies.log.write(
        log_level::info,
        m_is_response_started ? log_event::stream_resumed
                              : log_event::request_retried,
        {{"request_id", m_context.parsed_request.id},
         {"reason", std::string(reason)},
         {"failed_upstream", m_attempt->chosen_placement().upstream.id},
         {"sends", static_cast<std::int64_t>(m_attempt_count)},
         {"last_event", m_events.last_id().value_or(-1)}});
    place_again();
    return true;
}

void exchange::place_again()
{
    m_attempt.reset();
    m_phase = exchange_phase::waiting_for_place;
    if (try_place())
    {
        return;
    }
    if (m_is_response_started)
    {
        abort_response("no upstream has a free slot to resume the stream");
        return;
    }
    wait_for_place();
}

void exchange::on_not_connected()
{
    // Nothing of the request reached the upstream, so this is no attempt.
    --m_attempt_count;
    m_may_have_run = m_may_have_run_before_attempt;
    ++m_failed_connects;
    if (m_failed_connects >= min_failed_connects_to_forward &&
        try_forward("not_connected"))
    {
        return;
    }
    if (m_failed_connects < max_failed_connects &&
        m_state.dependencies.clock.steady_now() + min_time_for_retry <
            m_deadline)
    {
        place_again();
        return;
    }
    fail(result_code::no_upstream,
         "no connection to an upstream could be established");
}

void exchange::on_not_executed()
{
    m_may_have_run = m_may_have_run_before_attempt;
    if (!try_retry("not_executed"))
    {
        fail(result_code::upstream_overloaded,
             "the upstream did not run the request");
    }
}

void exchange::on_transport_failure(ports::transport_failure failure)
{
    m_events.drop_partial();
    // A stream goes on at its last event; another body would begin again.
    const bool may_send_again =
        m_context.route->is_repeatable() &&
        (!m_is_response_started ||
         m_context.route->kind == domain::request_kind::streaming);
    if (may_send_again && try_retry(name_of(failure)))
    {
        return;
    }
    if (m_is_response_started)
    {
        abort_response("the upstream aborted its response");
        return;
    }
    fail(result_code::upstream_failed,
         "the call to the upstream failed before its response was "
         "complete");
}

void exchange::on_error_response(const ports::response_head& head,
                                 std::string body)
{
    constexpr int first_server_error = 500;
    const bool is_idempotent =
        m_context.route->kind == domain::request_kind::idempotent;
    if (head.status >= first_server_error && is_idempotent &&
        try_retry("upstream_failed"))
    {
        return;
    }
    if (m_is_response_started)
    {
        abort_response(
            "the upstream returned an error when the stream was resumed");
        return;
    }
    const response_classification classification =
        m_state.dependencies.dialect.classify_response(head);
    if (!classification.is_forwardable)
    {
        fail(result_code::upstream_failed,
             "the upstream's response cannot be forwarded");
        return;
    }
    on_complete_response(head, std::move(body));
}

std::chrono::milliseconds exchange::retry_after() const
{
    const ports::steady_time now = m_state.dependencies.clock.steady_now();
    // The caller's next attempt may go to the upstreams of this one.
    domain::placement_request any = make_placement_request();
    any.tried.clear();
    // Another router may have a share of a brittle upstream now.
    any.brittle = nullptr;
    const std::optional<ports::steady_time> end =
        m_state.load_balancer.earliest_pause_end(any, now);
    return std::max(
        overload_retry_after,
        std::chrono::ceil<std::chrono::milliseconds>(end.value_or(now) - now));
}

void exchange::fail(result_code code, const std::string& detail)
{
    if (m_is_response_started)
    {
        abort_response(detail);
        return;
    }
    if (!m_may_have_run)
    {
        refuse({code, "", detail, outcome::not_run, retry_after()});
        return;
    }
    refuse({code, "", detail, outcome::outcome_unknown});
}

} // namespace turmeric::drivers
