#include "libraries/drivers/exchange/exchange.hpp"
#include "libraries/drivers/exchange/peer_attempt.hpp"
#include "libraries/drivers/exchange/upstream_attempt.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

namespace turmeric::drivers
{

namespace
{

/// Returns the media type without parameters, or nothing if none is named.
std::string_view media_type_of(const ports::response_head& head)
{
    const std::string* const value =
        ports::find_header_value(head.fields, "Content-Type");
    if (value == nullptr)
    {
        return {};
    }
    const std::string_view type =
        std::string_view(*value).substr(0, value->find(';'));
    return type.substr(0, type.find_last_not_of(" \t") + 1);
}

} // namespace

std::chrono::milliseconds
exchange::time_since_arrival(ports::steady_time now) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        now - m_context.request.arrived_at);
}

void exchange::record_first_byte()
{
    if (m_time_to_first_byte)
    {
        return;
    }
    const ports::steady_time now = m_state.dependencies.clock.steady_now();
    m_time_to_first_byte = time_since_arrival(now);
    m_state.dependencies.metrics.time_to_first_byte
        .with_labels({m_context.route->name})
        .record(*m_time_to_first_byte);
}

ports::response_head
exchange::make_caller_head(const ports::response_head& head) const
{
    ports::response_head made =
        m_state.dependencies.dialect.make_caller_head(head);
    if (m_context.parsed_request.forwarded_attempts)
    {
        m_state.dependencies.dialect.add_request_id(
            made, m_context.parsed_request.id);
    }
    return made;
}

void exchange::on_complete_response(const ports::response_head& head,
                                    std::string body)
{
    record_first_byte();
    m_context.channel->send_response(make_caller_head(head), std::move(body));
    constexpr int first_failure = 300;
    end(head.status < first_failure ? "ok" : "upstream_status");
}

void exchange::on_body_part(const ports::response_head& head, std::string part)
{
    if (!m_is_response_started)
    {
        record_first_byte();
        m_is_response_started = true;
        m_status = head.status;
        m_media_type = media_type_of(head);
        m_phase = exchange_phase::relaying;
        m_context.channel->start_response(make_caller_head(head));
    }
    const std::weak_ptr<exchange> weak = weak_from_this();
    m_context.channel->send_part(std::move(part),
                                 [weak]
                                 {
                                     if (const std::shared_ptr<exchange> self =
                                             weak.lock())
                                     {
                                         self->on_part_written();
                                     }
                                 });
}

bool exchange::is_continuation(const ports::response_head& head) const
{
    // Media types are compared as header names are, without regard to case.
    return head.status == m_status &&
           ports::is_same_header_name(media_type_of(head), m_media_type);
}

void exchange::on_part_written()
{
    if (m_phase == exchange_phase::ended)
    {
        return;
    }
    if (m_attempt != nullptr)
    {
        m_attempt->read_more();
    }
    if (m_peer_attempt != nullptr)
    {
        m_peer_attempt->read_more();
    }
}

void exchange::on_stream_end()
{
    if (!m_is_response_started)
    {
        // A successful stream has at least one event.
        fail(result_code::upstream_failed, "the upstream's stream was empty");
        return;
    }
    m_context.channel->finish_response();
    end("ok");
}

void exchange::refuse(error failure)
{
    std::string body;
    ports::response_head head =
        m_state.dependencies.dialect.write_error_response(failure, body);
    const bool is_not_run = failure.effect == outcome::not_run;
    if (m_context.parsed_request.forwarded_attempts)
    {
        m_state.dependencies.dialect.mark_error_response(
            head, stage_of(failure), m_context.parsed_request.id);
    }
    std::vector<log_field> fields = {
        {"request_id", m_context.parsed_request.id},
        {"route", m_context.route->name},
        {"code", static_cast<std::int64_t>(failure.code)},
        {"reason", failure.detail},
        {"phase", std::string(name_of(m_phase))},
        {"waiting", static_cast<std::int64_t>(m_state.queue.size())},
        {"sends", static_cast<std::int64_t>(m_attempt_count)}};
    if (m_context.account != nullptr && needed_tokens() > 0)
    {
        add_token_fields(fields);
    }
    m_state.dependencies.log.write(is_not_run ? log_level::info
                                              : log_level::warning,
                                   log_event::request_refused, fields);
    m_context.channel->send_response(head, std::move(body));
    end(std::string(name_of(failure.code)));
}

refusal_stage exchange::stage_of(const error& failure) const
{
    if (failure.effect != outcome::not_run)
    {
        return refusal_stage::outcome_unknown;
    }
    return m_attempt_count > 0 ? refusal_stage::not_run
                               : refusal_stage::not_sent;
}

void exchange::add_token_fields(std::vector<log_field>& fields) const
{
    const std::string& account = m_context.account->name;
    const domain::prepaid_balance balance = m_state.ledger.balance(account);
    const auto account_state = m_state.fleet.accounts.find(account);
    const bool has_account_state =
        account_state != m_state.fleet.accounts.end();
    fields.push_back({"account", account});
    fields.push_back({"tokens_needed", needed_tokens()});
    fields.push_back({"tokens_free", balance.free()});
    fields.push_back(
        {"granted_in_all",
         has_account_state ? account_state->second.granted_in_all : 0});
    fields.push_back({"peers_free", has_account_state
                                        ? account_state->second.peers_free
                                        : 0});
    if (const auto since = m_state.fleet.store_unavailable_since)
    {
        const auto outage_duration =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                m_state.dependencies.clock.steady_now() - *since);
        fields.push_back({"store_silent_ms",
                          static_cast<std::int64_t>(outage_duration.count())});
    }
}

void exchange::abort_response(const std::string& reason)
{
    m_state.dependencies.log.write(
        log_level::warning, log_event::answer_broken_off,
        {{"request_id", m_context.parsed_request.id},
         {"reason", reason},
         {"sends", static_cast<std::int64_t>(m_attempt_count)},
         {"events", m_events.events()}});
    m_context.channel->abort_response();
    end("broken_off");
}

void exchange::on_caller_disconnected(ports::close_reason reason)
{
    m_close_reason = reason;
    end(ports::is_closed_by_caller(reason) ? "caller_gone"
                                           : std::string(name_of(reason)));
}

std::int64_t exchange::consumed_tokens() const
{
    if (!m_may_have_run || !m_context.parsed_request.prompt)
    {
        return 0;
    }
    const domain::upstream_service* service =
        m_context.routes->find_service(m_service);
    const std::int64_t tokens_per_event =
        service != nullptr && service->engine
            ? service->engine->tokens_per_event
            : 1;
    const domain::prompt_description& prompt = *m_context.parsed_request.prompt;
    // The configuration may name any number of tokens for an event.
    const std::int64_t output = std::clamp<std::int64_t>(
        m_events.events() * tokens_per_event, 0, prompt.max_output_tokens);
    return std::min(m_held_tokens, prompt.input_tokens + output);
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
    m_state.queue.remove(m_context.exchange_id);
    const std::shared_ptr<exchange> self = shared_from_this();
    const std::string upstream =
        m_attempt == nullptr ? std::string()
                             : m_attempt->chosen_placement().upstream.id;
    if (m_attempt != nullptr)
    {
        m_attempt->cancel();
        m_attempt.reset();
    }
    if (m_peer_attempt != nullptr)
    {
        m_peer_attempt->cancel();
        m_peer_attempt.reset();
    }
    if (last_phase == exchange_phase::waiting_for_tokens &&
        m_context.account != nullptr)
    {
        m_state.remove_pending_hold(m_context.account->name, *this);
    }
    if (m_held_tokens > 0)
    {
        m_state.ledger.settle(m_context.account->name, m_held_tokens,
                              consumed_tokens());
        m_state.retry_holds(m_context.account->name);
    }
    const ports::steady_time now = m_state.dependencies.clock.steady_now();
    traffic_metrics& metrics = m_state.dependencies.metrics;
    metrics.responses.with_labels({m_context.route->name, outcome}).add();
    metrics.response_duration.with_labels({m_context.route->name})
        .record(time_since_arrival(now));
    if (last_phase == exchange_phase::waiting_for_tokens && !m_close_reason)
    {
        // The refusal of this request has been logged already.
        m_held_tokens = 0;
        m_state.erase_exchange(m_context.exchange_id);
        return;
    }
    std::vector<log_field> fields = {
        {"request_id", m_context.parsed_request.id},
        {"route", m_context.route->name},
        {"account", m_context.account == nullptr ? std::string()
                                                 : m_context.account->name},
        {"outcome", outcome},
        {"last_phase", std::string(name_of(last_phase))},
        {"upstream", upstream},
        {"sends", static_cast<std::int64_t>(m_attempt_count)},
        {"events", m_events.events()},
        {"first_byte_ms",
         static_cast<std::int64_t>(
             m_time_to_first_byte ? m_time_to_first_byte->count() : -1)},
        {"total_ms",
         static_cast<std::int64_t>(time_since_arrival(now).count())},
        {"tokens", consumed_tokens()},
        {"configuration_version", m_context.routes->version()},
        {"version_in_force", m_state.routes->version()}};
    if (m_close_reason)
    {
        fields.push_back(
            {"close_reason", std::string(name_of(*m_close_reason))});
    }
    m_state.dependencies.log.write(log_level::info, log_event::request_finished,
                                   fields);
    m_held_tokens = 0;
    m_state.erase_exchange(m_context.exchange_id);
}

} // namespace turmeric::drivers
