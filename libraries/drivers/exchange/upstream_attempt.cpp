#include "libraries/drivers/exchange/upstream_attempt.hpp"

#include <cassert>
#include <utility>

namespace turmeric::drivers
{

const upstream_attempt::body_mode upstream_attempt::refused_mode = {
    &upstream_attempt::ignore_part, &upstream_attempt::end_refused};
const upstream_attempt::body_mode upstream_attempt::failed_mode = {
    &upstream_attempt::keep_part, &upstream_attempt::end_failed};
const upstream_attempt::body_mode upstream_attempt::kept_mode = {
    &upstream_attempt::keep_or_relay_part, &upstream_attempt::end_kept};
const upstream_attempt::body_mode upstream_attempt::relayed_mode = {
    &upstream_attempt::relay_part, &upstream_attempt::end_relayed};
const upstream_attempt::body_mode upstream_attempt::events_mode = {
    &upstream_attempt::relay_events, &upstream_attempt::end_events};

upstream_attempt::upstream_attempt(traffic_state& state,
                                   std::weak_ptr<exchange> owner,
                                   domain::placement chosen,
                                   ports::steady_time sent_at)
    : m_state(state)
    , m_owner(std::move(owner))
    , m_chosen(std::move(chosen))
    , m_sent_at(sent_at)
{
}

void upstream_attempt::begin(ports::outgoing_call call)
{
    assert(m_call == nullptr);
    m_call = m_state.parts.transport.start(std::move(call), shared_from_this());
}

void upstream_attempt::cancel()
{
    if (m_is_over)
    {
        return;
    }
    m_is_over = true;
    leave_board();
    m_call->cancel();
}

void upstream_attempt::read_more()
{
    if (!m_is_over)
    {
        m_call->read_more();
    }
}

const domain::placement& upstream_attempt::chosen() const
{
    return m_chosen;
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

void upstream_attempt::leave_board()
{
    if (!m_is_on_board)
    {
        return;
    }
    m_is_on_board = false;
    m_state.board.note_ended(m_chosen, m_is_started);
    m_state.serve_line(m_chosen.upstream.service);
}

void upstream_attempt::note_outcome(bool is_good, std::string_view result)
{
    m_state.parts.metrics.sends
        .with_labels({m_chosen.upstream.service, std::string(result)})
        .add();
    const bool is_ejected = m_state.board.note_outcome(
        m_chosen.upstream.id, is_good, m_state.parts.clock.steady_now());
    if (is_ejected)
    {
        m_state.parts.log.write(log_level::warning, log_event::upstream_ejected,
                                {{"upstream", m_chosen.upstream.id},
                                 {"service", m_chosen.upstream.service},
                                 {"last_result", std::string(result)}});
    }
}

void upstream_attempt::on_head(const ports::response_head& head)
{
    const std::shared_ptr<exchange> owner = current_owner();
    if (owner == nullptr)
    {
        return;
    }
    m_head = head;
    const answer_meaning meaning = m_state.parts.dialect.read_answer(head);
    const bool is_stream =
        owner->m_subject.route->kind == domain::request_kind::streaming;
    if (meaning.is_not_executed)
    {
        m_mode = &refused_mode;
    }
    else if (!meaning.is_success || !meaning.is_genuine)
    {
        m_mode = &failed_mode;
    }
    else
    {
        m_mode = is_stream ? &events_mode : &kept_mode;
    }
}

void upstream_attempt::on_part(std::string part)
{
    const std::shared_ptr<exchange> owner = current_owner();
    if (owner != nullptr)
    {
        (this->*m_mode->on_part)(*owner, std::move(part));
    }
}

void upstream_attempt::on_end()
{
    const std::shared_ptr<exchange> owner = current_owner();
    m_is_over = true;
    if (owner != nullptr)
    {
        (this->*m_mode->on_end)(*owner);
    }
    leave_board();
}

void upstream_attempt::on_failure(ports::transport_failure failure)
{
    const std::shared_ptr<exchange> owner = current_owner();
    m_is_over = true;
    leave_board();
    if (owner == nullptr)
    {
        return;
    }
    if (m_mode == &refused_mode)
    {
        // The head has said that the request did not run.
        end_refused(*owner);
        return;
    }
    note_outcome(false, name_of(failure));
    if (failure == ports::transport_failure::not_connected)
    {
        owner->on_not_connected();
        return;
    }
    owner->on_broken(failure);
}

void upstream_attempt::ignore_part(exchange& owner, std::string&& part)
{
    static_cast<void>(owner);
    static_cast<void>(part);
    m_call->read_more();
}

void upstream_attempt::keep_part(exchange& owner, std::string&& part)
{
    static_cast<void>(owner);
    if (m_kept.size() < m_state.settings.kept_answer)
    {
        m_kept += part;
    }
    m_call->read_more();
}

void upstream_attempt::keep_or_relay_part(exchange& owner, std::string&& part)
{
    m_kept += part;
    if (m_kept.size() < m_state.settings.kept_answer)
    {
        m_call->read_more();
        return;
    }
    m_mode = &relayed_mode;
    owner.on_body_part(*m_head, std::exchange(m_kept, std::string()));
}

void upstream_attempt::relay_part(exchange& owner, std::string&& part)
{
    owner.on_body_part(*m_head, std::move(part));
}

void upstream_attempt::relay_events(exchange& owner, std::string&& part)
{
    std::string events = owner.m_events.feed(part);
    if (events.empty())
    {
        m_call->read_more();
        return;
    }
    if (!m_is_started)
    {
        m_is_started = true;
        m_state.board.note_first_output(
            m_chosen, std::chrono::duration_cast<std::chrono::milliseconds>(
                          m_state.parts.clock.steady_now() - m_sent_at));
    }
    owner.on_body_part(*m_head, std::move(events));
}

void upstream_attempt::end_refused(exchange& owner)
{
    note_outcome(true, "not_executed");
    leave_board();
    owner.on_not_executed();
}

void upstream_attempt::end_failed(exchange& owner)
{
    note_outcome(false, "failed");
    leave_board();
    owner.on_upstream_failure(*m_head, std::move(m_kept));
}

void upstream_attempt::end_kept(exchange& owner)
{
    note_outcome(true, "ok");
    leave_board();
    owner.on_whole_answer(*m_head, std::move(m_kept));
}

void upstream_attempt::end_relayed(exchange& owner)
{
    note_outcome(true, "ok");
    leave_board();
    owner.on_stream_end();
}

void upstream_attempt::end_events(exchange& owner)
{
    if (owner.m_events.has_partial())
    {
        // A body that ends with its connection can stop within an event.
        note_outcome(false, "partial_event");
        leave_board();
        owner.on_broken(ports::transport_failure::broken);
        return;
    }
    note_outcome(true, "ok");
    leave_board();
    owner.on_stream_end();
}

} // namespace turmeric::drivers
