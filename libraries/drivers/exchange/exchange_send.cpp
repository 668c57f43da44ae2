#include "libraries/drivers/exchange/exchange.hpp"
#include "libraries/drivers/exchange/upstream_attempt.hpp"

#include <utility>

namespace turmeric::drivers
{

namespace
{

/// Connections that may fail before a request is given up.
constexpr std::int32_t most_failed_connects = 3;
/// With less time left, another sending would serve nobody.
constexpr std::chrono::milliseconds least_time_to_repeat{50};
constexpr std::chrono::milliseconds overload_retry_after{250};

} // namespace

void exchange::send_to(const domain::placement& chosen)
{
    const ports::steady_time now = m_state.parts.clock.steady_now();
    m_phase = exchange_phase::sent;
    m_tried.insert(chosen.upstream.id);
    ++m_sends;
    m_may_have_run_before = m_may_have_run;
    m_may_have_run = true;

    upstream_terms order;
    order.upstream_id = chosen.upstream.id;
    order.account =
        m_subject.account == nullptr ? std::string() : m_subject.account->name;
    order.time_left =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - now);
    order.urgency = urgency();
    order.resume_after = m_events.last_id();

    ports::outgoing_call call;
    call.address = chosen.upstream.address;
    call.bytes = m_state.parts.dialect.write_request(m_subject.request, order);
    call.echoed_field_name = m_state.parts.dialect.echoed_field_name();
    call.echoed_field_value = m_subject.read.id;
    call.connect_timeout = m_state.settings.connect_timeout;
    call.max_idle = m_subject.route->is_repeatable()
                        ? m_state.settings.idle_for_repeatable
                        : m_state.settings.idle_for_once;

    m_state.board.note_sent(
        chosen, m_subject.read.prompt ? &*m_subject.read.prompt : nullptr, now);
    m_state.parts.log.write(
        log_level::debug, log_event::request_placed,
        {{"request_id", m_subject.read.id},
         {"upstream", chosen.upstream.id},
         {"service", m_service},
         {"attempt", static_cast<std::int64_t>(m_sends)},
         {"tokens_to_read", chosen.tokens_to_read},
         {"cost", chosen.cost},
         {"expected_ms", static_cast<std::int64_t>(chosen.expected.count())}});
    schedule(m_deadline);
    m_attempt = std::make_shared<upstream_attempt>(m_state, weak_from_this(),
                                                   chosen, now);
    m_attempt->begin(std::move(call));
}

bool exchange::may_send_again() const
{
    const ports::steady_time now = m_state.parts.clock.steady_now();
    return m_sends < m_subject.route->max_attempts &&
           now + least_time_to_repeat < m_deadline && !m_is_caller_gone;
}

bool exchange::repeat_elsewhere(std::string_view reason)
{
    if (!may_send_again() || !m_state.retries.try_acquire(
                                 m_service, m_state.parts.clock.steady_now()))
    {
        return false;
    }
    m_state.parts.log.write(
        log_level::info,
        m_is_answer_started ? log_event::stream_resumed
                            : log_event::request_retried,
        {{"request_id", m_subject.read.id},
         {"reason", std::string(reason)},
         {"failed_upstream", m_attempt->chosen().upstream.id},
         {"sends", static_cast<std::int64_t>(m_sends)},
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
    if (m_is_answer_started)
    {
        abort_response("no upstream has room for the rest of the stream");
        return;
    }
    wait_in_line();
}

void exchange::on_not_connected()
{
    // The upstream has seen nothing of the request.
    --m_sends;
    m_may_have_run = m_may_have_run_before;
    ++m_failed_connects;
    if (m_failed_connects < most_failed_connects &&
        m_state.parts.clock.steady_now() + least_time_to_repeat < m_deadline)
    {
        place_again();
        return;
    }
    fail(result_code::no_upstream, "no upstream could be connected");
}

void exchange::on_not_executed()
{
    m_may_have_run = m_may_have_run_before;
    if (!repeat_elsewhere("not_executed"))
    {
        fail(result_code::upstream_overloaded,
             "the upstream did not run the request");
    }
}

void exchange::on_broken(ports::transport_failure failure)
{
    m_events.drop_partial();
    if (m_subject.route->is_repeatable() && repeat_elsewhere(name_of(failure)))
    {
        return;
    }
    if (m_is_answer_started)
    {
        abort_response("upstream broke off");
        return;
    }
    fail(result_code::upstream_failed,
         "the connection to the upstream ended before its answer");
}

void exchange::on_upstream_failure(const ports::response_head& head,
                                   std::string body)
{
    constexpr int first_server_error = 500;
    const bool is_idempotent =
        m_subject.route->kind == domain::request_kind::idempotent;
    if (head.status >= first_server_error && is_idempotent &&
        repeat_elsewhere("upstream_failed"))
    {
        return;
    }
    if (m_is_answer_started)
    {
        abort_response("upstream failed the resumption");
        return;
    }
    const answer_meaning meaning = m_state.parts.dialect.read_answer(head);
    if (!meaning.is_genuine)
    {
        fail(result_code::upstream_failed,
             "the upstream's answer cannot be passed on");
        return;
    }
    on_whole_answer(head, std::move(body));
}

void exchange::fail(result_code code, const std::string& detail)
{
    if (m_is_answer_started)
    {
        abort_response(detail);
        return;
    }
    if (!m_may_have_run)
    {
        refuse({code, "", detail, outcome::not_run, overload_retry_after});
        return;
    }
    refuse({code, "", detail, outcome::outcome_unknown});
}

} // namespace turmeric::drivers
