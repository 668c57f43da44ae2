#include "libraries/drivers/exchange/upstream_attempt.hpp"

#include <cassert>
#include <utility>

namespace turmeric::drivers
{

namespace
{

/// The result of a request that the upstream states it did not run.
constexpr std::string_view not_executed_result = "not_executed";

/// Returns whether the response shows where its body ends, by a length or a
/// last chunk. If not, the end of the connection ends it.
bool has_delimited_body(const ports::response_head& head)
{
    return ports::find_header_value(head.fields, "Content-Length") != nullptr ||
           ports::find_header_value(head.fields, "Transfer-Encoding") !=
               nullptr;
}

} // namespace

const upstream_attempt::body_handler upstream_attempt::not_executed_handler = {
    &upstream_attempt::discard_part, &upstream_attempt::finish_not_executed};
const upstream_attempt::body_handler upstream_attempt::error_handler = {
    &upstream_attempt::buffer_part, &upstream_attempt::finish_error};
const upstream_attempt::body_handler upstream_attempt::buffering_handler = {
    &upstream_attempt::buffer_or_relay_part,
    &upstream_attempt::finish_buffered};
const upstream_attempt::body_handler upstream_attempt::relaying_handler = {
    &upstream_attempt::relay_part, &upstream_attempt::finish_relayed};
const upstream_attempt::body_handler upstream_attempt::event_handler = {
    &upstream_attempt::relay_events, &upstream_attempt::finish_events};

upstream_attempt::upstream_attempt(traffic_state& state,
                                   std::weak_ptr<exchange> owner,
                                   domain::placement chosen_placement,
                                   const domain::caller_route& route,
                                   ports::steady_time sent_at)
    : m_state(state)
    , m_owner(std::move(owner))
    , m_chosen_placement(std::move(chosen_placement))
    , m_route(route.name)
    , m_is_stream(route.kind == domain::request_kind::streaming)
    , m_sent_at(sent_at)
    , m_memory(state.dependencies.memory, memory_kind::responses)
{
}

void upstream_attempt::begin(ports::outgoing_call call)
{
    assert(m_call == nullptr);
    m_state.prober.note_sent(m_chosen_placement.upstream);
    m_call = m_state.dependencies.transport.start(std::move(call),
                                                  shared_from_this());
}

void upstream_attempt::cancel()
{
    if (m_is_finished)
    {
        return;
    }
    m_is_finished = true;
    if (!m_output_since)
    {
        record_version(std::nullopt);
    }
    release_slot();
    m_call->cancel();
}

void upstream_attempt::record_timeout()
{
    if (!m_is_finished)
    {
        record_version(false);
    }
}

void upstream_attempt::read_more()
{
    if (!m_is_finished)
    {
        m_call->read_more();
    }
}

const domain::placement& upstream_attempt::chosen_placement() const
{
    return m_chosen_placement;
}

bool upstream_attempt::has_head() const
{
    return m_head.has_value();
}

std::shared_ptr<exchange> upstream_attempt::current_owner()
{
    std::shared_ptr<exchange> owner = m_owner.lock();
    const bool is_current = owner != nullptr && owner->m_attempt.get() == this;
    return is_current ? owner : nullptr;
}

void upstream_attempt::release_slot()
{
    if (!m_has_slot)
    {
        return;
    }
    m_has_slot = false;
    m_state.load_balancer.note_ended(m_chosen_placement,
                                     m_output_since.has_value());
    m_state.place_queued_requests(m_chosen_placement.upstream.service);
}

void upstream_attempt::record_outcome(bool is_success, std::string_view result)
{
    m_state.dependencies.metrics.attempts
        .with_labels({m_chosen_placement.upstream.service, std::string(result)})
        .add();
    const bool is_path_failure =
        !is_success && m_state.paths.was_cut_off_since(
                           m_chosen_placement.upstream.service, m_sent_at);
    if (is_path_failure)
    {
        return;
    }
    if (result != not_executed_result)
    {
        record_version(is_success);
    }
    const bool is_ejected = m_state.load_balancer.note_outcome(
        m_chosen_placement.upstream.id, is_success,
        m_state.dependencies.clock.steady_now());
    if (is_ejected)
    {
        m_state.dependencies.log.write(
            log_level::warning, log_event::upstream_ejected,
            {{"upstream", m_chosen_placement.upstream.id},
             {"service", m_chosen_placement.upstream.service},
             {"last_result", std::string(result)}});
    }
}

void upstream_attempt::on_head(const ports::response_head& head)
{
    m_state.prober.note_contact(m_chosen_placement.upstream);
    const std::shared_ptr<exchange> owner = current_owner();
    if (owner == nullptr)
    {
        return;
    }
    m_head = head;
    const response_classification classification =
        m_state.dependencies.dialect.classify_response(head);
    record_rate_limit(head, classification.is_success);
    if (!classification.is_misdirected)
    {
        record_notices(head);
    }
    owner->release_body(classification.is_not_executed);
    const bool is_stream =
        owner->m_context.route->kind == domain::request_kind::streaming;
    if (classification.is_not_executed)
    {
        m_body_handler = &not_executed_handler;
    }
    else if (!classification.is_success || !classification.is_forwardable ||
             (owner->m_is_response_started && !owner->is_continuation(head)))
    {
        m_body_handler = &error_handler;
    }
    else
    {
        m_body_handler = is_stream ? &event_handler : &buffering_handler;
    }
}

void upstream_attempt::on_part(std::string part)
{
    m_state.prober.note_contact(m_chosen_placement.upstream);
    const std::shared_ptr<exchange> owner = current_owner();
    if (owner != nullptr)
    {
        (this->*m_body_handler->on_part)(*owner, std::move(part));
    }
}

void upstream_attempt::on_end()
{
    const std::shared_ptr<exchange> owner = current_owner();
    m_is_finished = true;
    close_connections_if_leaving();
    if (owner != nullptr)
    {
        (this->*m_body_handler->on_end)(*owner);
    }
    release_slot();
}

void upstream_attempt::on_failure(ports::transport_failure failure)
{
    const std::shared_ptr<exchange> owner = current_owner();
    m_is_finished = true;
    m_state.prober.note_failure(m_chosen_placement.upstream, failure,
                                m_sent_at);
    release_slot();
    if (owner == nullptr)
    {
        return;
    }
    if (m_body_handler == &not_executed_handler)
    {
        // By the head, the request did not run, even though the body is
        // incomplete.
        finish_not_executed(*owner);
        return;
    }
    record_outcome(false, name_of(failure));
    if (failure == ports::transport_failure::not_connected)
    {
        owner->on_not_connected();
        return;
    }
    log_broken_call(*owner, name_of(m_call->defect()), failure);
    if (failure == ports::transport_failure::broken)
    {
        record_upstream_end(*owner);
    }
    owner->on_transport_failure(failure);
}

void upstream_attempt::discard_part(exchange& owner, std::string&& part)
{
    m_discarded_bytes += part.size();
    if (m_discarded_bytes <= m_state.settings.max_buffered_bytes)
    {
        m_call->read_more();
        return;
    }
    // By the head, the request did not run, whatever follows.
    m_is_finished = true;
    m_call->cancel();
    finish_not_executed(owner);
}

void upstream_attempt::buffer_part(exchange& owner, std::string&& part)
{
    m_buffered_body += part;
    count_held_bytes(m_buffered_body.size());
    if (m_buffered_body.size() > m_state.settings.max_buffered_bytes)
    {
        // A truncated body must not look complete.
        abandon(owner, "error_too_long");
        return;
    }
    m_call->read_more();
}

void upstream_attempt::count_held_bytes(std::size_t bytes)
{
    m_memory.resize(static_cast<std::int64_t>(bytes));
}

void upstream_attempt::abandon(exchange& owner, std::string_view result)
{
    m_is_finished = true;
    m_call->cancel();
    record_outcome(false, result);
    release_slot();
    owner.on_transport_failure(ports::transport_failure::unreadable);
}

void upstream_attempt::buffer_or_relay_part(exchange& owner, std::string&& part)
{
    m_buffered_body += part;
    count_held_bytes(m_buffered_body.size());
    if (m_state.may_buffer_response(m_buffered_body.size()))
    {
        m_call->read_more();
        return;
    }
    count_held_bytes(0);
    m_body_handler = &relaying_handler;
    owner.on_body_part(*m_head, std::exchange(m_buffered_body, std::string()));
}

void upstream_attempt::relay_part(exchange& owner, std::string&& part)
{
    owner.on_body_part(*m_head, std::move(part));
}

void upstream_attempt::relay_events(exchange& owner, std::string&& part)
{
    std::string events = owner.m_events.feed(part);
    if (owner.m_events.has_gap())
    {
        abandon(owner, "events_missing");
        return;
    }
    count_held_bytes(owner.m_events.partial_size());
    if (!m_state.may_hold_event(owner.m_events.partial_size()))
    {
        abandon(owner, "event_too_long");
        return;
    }
    if (events.empty())
    {
        m_call->read_more();
        return;
    }
    if (!m_output_since)
    {
        m_output_since = m_state.dependencies.clock.steady_now();
        m_state.crashing_parts.record_output(*m_output_since);
        m_state.load_balancer.note_first_output(
            m_chosen_placement,
            std::chrono::duration_cast<std::chrono::milliseconds>(
                *m_output_since - m_sent_at));
    }
    if (!is_beginning())
    {
        record_survived_beginning(owner);
    }
    owner.on_body_part(*m_head, std::move(events));
}

void upstream_attempt::finish_not_executed(exchange& owner)
{
    record_outcome(true, not_executed_result);
    release_slot();
    owner.on_not_executed();
}

void upstream_attempt::finish_error(exchange& owner)
{
    record_outcome(false, "failed");
    record_complete_response(owner);
    release_slot();
    owner.on_error_response(*m_head, std::move(m_buffered_body));
}

void upstream_attempt::finish_buffered(exchange& owner)
{
    record_outcome(true, "ok");
    record_complete_response(owner);
    release_slot();
    owner.on_complete_response(*m_head, std::move(m_buffered_body));
}

void upstream_attempt::finish_relayed(exchange& owner)
{
    record_outcome(true, "ok");
    record_complete_response(owner);
    release_slot();
    owner.on_stream_end();
}

void upstream_attempt::finish_events(exchange& owner)
{
    // A truncated response can have a proper end too. Only an event of this
    // very response shows that the stream reached the upstream's end of it.
    const bool is_empty = !m_output_since;
    if (owner.m_events.has_partial() || is_empty)
    {
        const std::string_view cause =
            is_empty ? "empty_stream" : "partial_event";
        record_outcome(false, cause);
        release_slot();
        log_broken_call(owner, cause, ports::transport_failure::broken);
        if (!has_delimited_body(*m_head))
        {
            record_upstream_end(owner);
        }
        owner.on_transport_failure(ports::transport_failure::broken);
        return;
    }
    record_survived_beginning(owner);
    record_outcome(true, "ok");
    release_slot();
    owner.on_stream_end();
}

} // namespace turmeric::drivers
