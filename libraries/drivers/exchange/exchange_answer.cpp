#include "libraries/drivers/exchange/exchange.hpp"
#include "libraries/drivers/exchange/upstream_attempt.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::drivers
{

std::chrono::milliseconds exchange::since_arrival(ports::steady_time now) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        now - m_subject.request.arrived_at);
}

void exchange::note_first_byte()
{
    if (m_first_byte)
    {
        return;
    }
    const ports::steady_time now = m_state.parts.clock.steady_now();
    m_first_byte = since_arrival(now);
    m_state.parts.metrics.first_byte.with_labels({m_subject.route->name})
        .record(*m_first_byte);
}

void exchange::on_whole_answer(const ports::response_head& head,
                               std::string body)
{
    note_first_byte();
    m_subject.channel->send_response(m_state.parts.dialect.pass_on(head),
                                     std::move(body));
    constexpr int first_failure = 300;
    end(head.status < first_failure ? "ok" : "upstream_status");
}

void exchange::on_body_part(const ports::response_head& head, std::string part)
{
    if (!m_is_answer_started)
    {
        note_first_byte();
        m_is_answer_started = true;
        m_phase = exchange_phase::relaying;
        m_subject.channel->start_response(m_state.parts.dialect.pass_on(head));
    }
    const std::weak_ptr<exchange> weak = weak_from_this();
    m_subject.channel->send_part(std::move(part),
                                 [weak]
                                 {
                                     if (const std::shared_ptr<exchange> self =
                                             weak.lock())
                                     {
                                         self->on_part_written();
                                     }
                                 });
}

void exchange::on_part_written()
{
    if (m_attempt != nullptr && m_phase != exchange_phase::ended)
    {
        m_attempt->read_more();
    }
}

void exchange::on_stream_end()
{
    if (!m_is_answer_started)
    {
        // A stream without a single event is no answer that was asked for.
        fail(result_code::upstream_failed, "the upstream's stream was empty");
        return;
    }
    m_subject.channel->finish_response();
    end("ok");
}

void exchange::refuse(error failure)
{
    std::string body;
    const ports::response_head head =
        m_state.parts.dialect.write_failure(failure, body);
    const bool is_not_run = failure.effect == outcome::not_run;
    std::vector<log_field> fields = {
        {"request_id", m_subject.read.id},
        {"route", m_subject.route->name},
        {"code", static_cast<std::int64_t>(failure.code)},
        {"reason", failure.detail},
        {"phase", std::string(name_of(m_phase))},
        {"waiting", static_cast<std::int64_t>(m_state.line.size())},
        {"sends", static_cast<std::int64_t>(m_sends)}};
    if (m_subject.account != nullptr && needed_tokens() > 0)
    {
        add_token_inputs(fields);
    }
    m_state.parts.log.write(is_not_run ? log_level::info : log_level::warning,
                            log_event::request_refused, fields);
    m_subject.channel->send_response(head, std::move(body));
    end(std::string(name_of(failure.code)));
}

void exchange::add_token_inputs(std::vector<log_field>& fields) const
{
    const std::string& account = m_subject.account->name;
    const domain::prepaid_balance balance = m_state.ledger.balance(account);
    const auto seen = m_state.fleet.accounts.find(account);
    const bool is_seen = seen != m_state.fleet.accounts.end();
    fields.push_back({"account", account});
    fields.push_back({"tokens_needed", needed_tokens()});
    fields.push_back({"tokens_free", balance.free()});
    fields.push_back(
        {"granted_in_all", is_seen ? seen->second.granted_in_all : 0});
    fields.push_back({"peers_free", is_seen ? seen->second.peers_free : 0});
    if (const auto since = m_state.fleet.store_silent_since)
    {
        const auto silence =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                m_state.parts.clock.steady_now() - *since);
        fields.push_back(
            {"store_silent_ms", static_cast<std::int64_t>(silence.count())});
    }
}

void exchange::abort_response(const std::string& reason)
{
    m_state.parts.log.write(log_level::warning, log_event::answer_broken_off,
                            {{"request_id", m_subject.read.id},
                             {"reason", reason},
                             {"sends", static_cast<std::int64_t>(m_sends)},
                             {"events", m_events.events()}});
    m_subject.channel->abort_response();
    end("broken_off");
}

void exchange::on_caller_disconnected()
{
    m_is_caller_gone = true;
    end("caller_gone");
}

std::int64_t exchange::consumed_tokens() const
{
    if (!m_may_have_run || !m_subject.read.prompt)
    {
        return 0;
    }
    const domain::upstream_service* service =
        m_subject.routes->find_service(m_service);
    const std::int64_t tokens_per_event =
        service != nullptr && service->engine
            ? service->engine->tokens_per_event
            : 1;
    const domain::prompt_description& prompt = *m_subject.read.prompt;
    const std::int64_t output = std::min(prompt.max_output_tokens,
                                         m_events.events() * tokens_per_event);
    return std::min(m_held, prompt.input_tokens + output);
}

void exchange::end(const std::string& outcome)
{
    if (m_phase == exchange_phase::ended)
    {
        return;
    }
    const exchange_phase last_phase = m_phase;
    m_phase = exchange_phase::ended;
    m_timer.reset();
    m_state.line.remove(m_subject.number);
    const std::shared_ptr<exchange> self = shared_from_this();
    const std::string upstream =
        m_attempt == nullptr ? std::string() : m_attempt->chosen().upstream.id;
    if (m_attempt != nullptr)
    {
        m_attempt->cancel();
        m_attempt.reset();
    }
    if (last_phase == exchange_phase::waiting_for_tokens &&
        m_subject.account != nullptr)
    {
        m_state.leave_holds(m_subject.account->name, *this);
    }
    if (m_held > 0)
    {
        m_state.ledger.settle(m_subject.account->name, m_held,
                              consumed_tokens());
        m_state.retry_holds(m_subject.account->name);
    }
    const ports::steady_time now = m_state.parts.clock.steady_now();
    traffic_metrics& metrics = m_state.parts.metrics;
    metrics.answers.with_labels({m_subject.route->name, outcome}).add();
    metrics.whole_answer.with_labels({m_subject.route->name})
        .record(since_arrival(now));
    if (last_phase == exchange_phase::waiting_for_tokens && !m_is_caller_gone)
    {
        // The line of the refusal has said all.
        m_held = 0;
        m_state.forget(m_subject.number);
        return;
    }
    m_state.parts.log.write(
        log_level::info, log_event::request_finished,
        {{"request_id", m_subject.read.id},
         {"route", m_subject.route->name},
         {"account", m_subject.account == nullptr ? std::string()
                                                  : m_subject.account->name},
         {"outcome", outcome},
         {"last_phase", std::string(name_of(last_phase))},
         {"upstream", upstream},
         {"sends", static_cast<std::int64_t>(m_sends)},
         {"events", m_events.events()},
         {"first_byte_ms",
          static_cast<std::int64_t>(m_first_byte ? m_first_byte->count() : -1)},
         {"total_ms", static_cast<std::int64_t>(since_arrival(now).count())},
         {"tokens", consumed_tokens()}});
    m_held = 0;
    m_state.forget(m_subject.number);
}

} // namespace turmeric::drivers
