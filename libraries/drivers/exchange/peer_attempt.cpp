#include "libraries/drivers/exchange/peer_attempt.hpp"

#include <cassert>
#include <utility>

namespace turmeric::drivers
{

const peer_attempt::body_handler peer_attempt::refusal_handler = {
    &peer_attempt::buffer_part, &peer_attempt::finish_refusal};
const peer_attempt::body_handler peer_attempt::error_handler = {
    &peer_attempt::buffer_part, &peer_attempt::finish_error};
const peer_attempt::body_handler peer_attempt::buffering_handler = {
    &peer_attempt::buffer_or_relay_part, &peer_attempt::finish_buffered};
const peer_attempt::body_handler peer_attempt::relaying_handler = {
    &peer_attempt::relay_part, &peer_attempt::finish_relayed};
const peer_attempt::body_handler peer_attempt::event_handler = {
    &peer_attempt::relay_events, &peer_attempt::finish_events};

peer_attempt::peer_attempt(traffic_state& state, std::weak_ptr<exchange> owner)
    : m_state(state)
    , m_owner(std::move(owner))
    , m_memory(state.dependencies.memory, memory_kind::responses)
{
}

void peer_attempt::begin(ports::outgoing_call call)
{
    assert(m_call == nullptr);
    m_peer_address = call.address;
    m_call = m_state.dependencies.transport.start(std::move(call),
                                                  shared_from_this());
}

void peer_attempt::cancel()
{
    if (!m_is_finished)
    {
        m_is_finished = true;
        m_call->cancel();
    }
}

void peer_attempt::read_more()
{
    if (!m_is_finished)
    {
        m_call->read_more();
    }
}

std::shared_ptr<exchange> peer_attempt::current_owner()
{
    std::shared_ptr<exchange> owner = m_owner.lock();
    const bool is_current =
        owner != nullptr && owner->m_peer_attempt.get() == this;
    return is_current ? owner : nullptr;
}

void peer_attempt::count_result(const exchange& owner, std::string_view result)
{
    m_state.dependencies.metrics.forwards
        .with_labels({owner.m_service, std::string(result)})
        .add();
}

void peer_attempt::on_head(const ports::response_head& head)
{
    const std::shared_ptr<exchange> owner = current_owner();
    if (owner == nullptr)
    {
        return;
    }
    m_head = head;
    m_classification =
        m_state.dependencies.dialect.classify_peer_response(head);
    const bool is_stream =
        owner->m_context.route->kind == domain::request_kind::streaming;
    if (m_classification.is_not_executed)
    {
        m_body_handler = &refusal_handler;
    }
    else if (!m_classification.is_success ||
             (owner->m_is_response_started && !owner->is_continuation(head)))
    {
        m_body_handler = &error_handler;
    }
    else
    {
        m_body_handler = is_stream ? &event_handler : &buffering_handler;
    }
}

void peer_attempt::on_part(std::string part)
{
    const std::shared_ptr<exchange> owner = current_owner();
    if (owner != nullptr)
    {
        (this->*m_body_handler->on_part)(*owner, std::move(part));
    }
}

void peer_attempt::on_end()
{
    const std::shared_ptr<exchange> owner = current_owner();
    m_is_finished = true;
    if (owner != nullptr)
    {
        (this->*m_body_handler->on_end)(*owner);
    }
}

void peer_attempt::on_failure(ports::transport_failure failure)
{
    const std::shared_ptr<exchange> owner = current_owner();
    m_is_finished = true;
    if (owner != nullptr)
    {
        report_failure(*owner, failure);
    }
}

void peer_attempt::report_failure(exchange& owner,
                                  ports::transport_failure failure)
{
    count_result(owner, name_of(failure));
    if (failure == ports::transport_failure::not_connected)
    {
        owner.on_peer_not_connected();
        return;
    }
    log_broken_call(owner, failure);
    if (m_body_handler == &refusal_handler)
    {
        // By the head, the request did not run, even though the body is
        // incomplete. The caller gets a complete response of this router.
        owner.on_incomplete_peer_refusal();
        return;
    }
    owner.on_peer_failure();
}

void peer_attempt::log_broken_call(const exchange& owner,
                                   ports::transport_failure failure) const
{
    m_state.dependencies.log.write(
        log_level::warning, log_event::upstream_call_broken,
        {{"request_id", owner.m_context.parsed_request.id},
         {"peer", m_peer_address},
         {"result", std::string(name_of(failure))},
         {"cause", std::string(name_of(m_call->defect()))},
         {"has_head", m_head.has_value()}});
}

void peer_attempt::count_held_bytes(std::size_t bytes)
{
    m_memory.resize(static_cast<std::int64_t>(bytes));
}

void peer_attempt::abandon(exchange& owner)
{
    cancel();
    report_failure(owner, ports::transport_failure::unreadable);
}

void peer_attempt::buffer_part(exchange& owner, std::string&& part)
{
    m_buffered_body += part;
    count_held_bytes(m_buffered_body.size());
    if (m_buffered_body.size() > m_state.settings.max_buffered_bytes)
    {
        // A truncated body must not look complete.
        abandon(owner);
        return;
    }
    m_call->read_more();
}

void peer_attempt::buffer_or_relay_part(exchange& owner, std::string&& part)
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

void peer_attempt::relay_part(exchange& owner, std::string&& part)
{
    owner.on_body_part(*m_head, std::move(part));
}

void peer_attempt::relay_events(exchange& owner, std::string&& part)
{
    std::string events = owner.m_events.feed(part);
    count_held_bytes(owner.m_events.partial_size());
    if (owner.m_events.has_gap() ||
        !m_state.may_hold_event(owner.m_events.partial_size()))
    {
        abandon(owner);
        return;
    }
    if (events.empty())
    {
        m_call->read_more();
        return;
    }
    m_has_event = true;
    owner.on_body_part(*m_head, std::move(events));
}

void peer_attempt::finish_refusal(exchange& owner)
{
    count_result(owner, "refused");
    owner.on_peer_refusal(*m_head, std::move(m_buffered_body),
                          m_classification.is_not_sent);
}

void peer_attempt::finish_error(exchange& owner)
{
    count_result(owner, "error");
    owner.on_peer_error_response(*m_head, std::move(m_buffered_body),
                                 m_classification.is_forwardable);
}

void peer_attempt::finish_buffered(exchange& owner)
{
    count_result(owner, "ok");
    owner.on_complete_response(*m_head, std::move(m_buffered_body));
}

void peer_attempt::finish_relayed(exchange& owner)
{
    count_result(owner, "ok");
    owner.on_stream_end();
}

void peer_attempt::finish_events(exchange& owner)
{
    // As with an upstream, a response without an event proves no end.
    if (owner.m_events.has_partial() || !m_has_event)
    {
        report_failure(owner, ports::transport_failure::broken);
        return;
    }
    count_result(owner, "ok");
    owner.on_stream_end();
}

} // namespace turmeric::drivers
