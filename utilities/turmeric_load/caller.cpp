#include "utilities/turmeric_load/caller.hpp"

#include "libraries/domain/digest.hpp"

#include <fmt/core.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace turmeric::load
{

namespace
{

constexpr std::size_t max_bytes_per_read = 16'384;
constexpr std::chrono::milliseconds slow_read_interval{50};
constexpr std::chrono::milliseconds min_retry_delay{50};
constexpr std::chrono::seconds max_retry_delay{2};
constexpr int http_too_many_requests = 429;
constexpr int http_server_error = 500;

/// Returns the delay in the Retry-After header; 0 if there is none.
std::chrono::milliseconds retry_after(const response_head& head)
{
    const std::string text = head.header("retry-after");
    std::int64_t seconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return std::chrono::seconds(seconds);
}

} // namespace

caller::caller(caller_dependencies dependencies, std::uint64_t number,
               bool is_slow)
    : m_dependencies(std::move(dependencies))
    , m_number(number)
    , m_is_slow(is_slow)
{
}

void caller::start(loop_time now)
{
    start_request(now);
}

bool caller::is_done() const
{
    return m_state == state::done;
}

void caller::start_request(loop_time now)
{
    m_plan = m_dependencies.next_request();
    if (!m_plan)
    {
        close();
        m_state = state::done;
        return;
    }
    m_attempts = 0;
    m_avoided_address.clear();
    m_started_at = now;
    start_attempt(now);
}

void caller::start_attempt(loop_time now)
{
    ++m_attempts;
    m_state = state::exchanging;
    m_parser = response_parser();
    m_response.emplace(response_check(m_plan->prompt_digest, m_plan->tokens));
    m_has_text = false;
    m_is_sent = false;
    m_is_reading_paused = false;
    m_last_byte_at = now;
    m_is_connection_reused = m_connection.is_open();
    if (!m_is_connection_reused)
    {
        const std::string address =
            m_dependencies.routers.pick(next_random(), m_avoided_address);
        if (!m_connection.open(address, m_is_slow))
        {
            finish_attempt(request_result::unreachable, now);
            return;
        }
        m_dependencies.loop.watch(m_connection.socket(), true, *this);
    }
    else
    {
        m_dependencies.loop.set_interest(m_connection.socket(), true, true,
                                         *this);
    }
    m_connection.set_output(
        write_request(m_dependencies.options, *m_plan, m_connection.address()));
    m_dependencies.loop.set_timer(*this,
                                  now + m_dependencies.options.idle_timeout);
}

void caller::on_socket(loop_time now)
{
    if (m_state != state::exchanging)
    {
        // No request is active: the peer closed an idle connection.
        close();
        return;
    }
    if (!m_is_sent)
    {
        const transfer_result flushed = m_connection.flush();
        if (flushed == transfer_result::failed)
        {
            handle_disconnect(flushed, now);
            return;
        }
        m_is_sent = flushed == transfer_result::completed;
        if (!m_is_sent)
        {
            return;
        }
        m_dependencies.loop.set_interest(m_connection.socket(), true, false,
                                         *this);
    }
    read_response(now);
}

void caller::read_response(loop_time now)
{
    const transfer_result read_result =
        m_connection.read(m_buffer, max_read_bytes());
    if (read_result == transfer_result::would_block)
    {
        return;
    }
    if (read_result != transfer_result::completed)
    {
        handle_disconnect(read_result, now);
        return;
    }
    m_last_byte_at = now;
    bool has_text = false;
    const response_parser::progress parsed = m_parser.feed(
        m_buffer, [this, &has_text](std::string_view body)
        { has_text = m_response->feed(m_parser.head(), body) || has_text; });
    if (has_text)
    {
        record_text(now);
    }
    if (parsed == response_parser::progress::incomplete)
    {
        pause_reading(now);
        return;
    }
    if (parsed == response_parser::progress::invalid)
    {
        close();
        finish_attempt(request_result::truncated, now);
        return;
    }
    finish_response(now);
}

void caller::record_text(loop_time now)
{
    if (m_has_text)
    {
        m_dependencies.report.add_token_gap(now - m_last_text_at);
    }
    else
    {
        m_dependencies.report.add_first_token(now - m_started_at);
    }
    m_has_text = true;
    m_last_text_at = now;
}

void caller::finish_response(loop_time now)
{
    m_response->finish(m_parser.head());
    if (!m_dependencies.options.keeps_connections ||
        !m_parser.keeps_connection())
    {
        close();
    }
    finish_attempt(classify_result(), now);
}

void caller::handle_disconnect(transfer_result how, loop_time now)
{
    const bool had_response_bytes = m_parser.has_started();
    close();
    if (m_is_connection_reused && !had_response_bytes)
    {
        // The peer closed a reused connection while the request was sent.
        // The same Idempotency-Key makes it safe to send the request again.
        m_dependencies.report.add_reconnect();
        --m_attempts;
        start_attempt(now);
        return;
    }
    if (how == transfer_result::closed && m_parser.has_head() &&
        m_parser.close() == response_parser::progress::complete)
    {
        finish_response(now);
        return;
    }
    finish_attempt(had_response_bytes ? request_result::truncated
                                      : request_result::unreachable,
                   now);
}

request_result caller::classify_result() const
{
    if (m_response->check().is_wrong())
    {
        return request_result::wrong;
    }
    if (m_response->failure())
    {
        return request_result::refused;
    }
    return m_response->has_end() && m_response->check().is_complete()
               ? request_result::complete
               : request_result::truncated;
}

bool caller::is_retryable(request_result result) const
{
    if (result == request_result::complete || result == request_result::wrong)
    {
        return false;
    }
    if (result != request_result::refused || !m_response->failure())
    {
        return true;
    }
    const int http_status = m_response->failure()->http_status;
    constexpr int http_ok = 200;
    return http_status == http_ok || http_status == http_too_many_requests ||
           http_status >= http_server_error;
}

void caller::finish_attempt(request_result result, loop_time now)
{
    if (m_response->check().is_wrong())
    {
        result = request_result::wrong;
    }
    if (!is_retryable(result) ||
        m_attempts >= m_dependencies.options.max_attempts)
    {
        m_dependencies.loop.clear_timer(*this);
        m_dependencies.report.add_result(result, *m_response);
        // The event loop starts the next request, so that the call stack does
        // not grow with each request.
        m_plan.reset();
        m_state = state::waiting;
        m_dependencies.loop.set_timer(*this, now);
        return;
    }
    m_dependencies.report.add_retry(result);
    m_avoided_address = m_connection.address();
    const std::chrono::milliseconds requested_delay =
        m_parser.has_head() ? retry_after(m_parser.head())
                            : std::chrono::milliseconds(0);
    close();
    m_state = state::waiting;
    const std::chrono::milliseconds retry_delay =
        std::clamp<std::chrono::milliseconds>(
            requested_delay, min_retry_delay * m_attempts, max_retry_delay);
    m_dependencies.loop.set_timer(*this, now + retry_delay);
}

void caller::pause_reading(loop_time now)
{
    if (!m_is_slow)
    {
        return;
    }
    m_is_reading_paused = true;
    m_dependencies.loop.set_interest(m_connection.socket(), false, false,
                                     *this);
    m_dependencies.loop.set_timer(*this, now + slow_read_interval);
}

void caller::on_timer(loop_time now)
{
    if (m_state == state::waiting)
    {
        if (m_plan)
        {
            start_attempt(now);
            return;
        }
        start_request(now);
        return;
    }
    const loop_time idle_deadline =
        m_last_byte_at + m_dependencies.options.idle_timeout;
    if (m_is_reading_paused)
    {
        m_is_reading_paused = false;
        m_dependencies.loop.set_interest(m_connection.socket(), true, false,
                                         *this);
        m_dependencies.loop.set_timer(*this, idle_deadline);
        return;
    }
    if (now < idle_deadline)
    {
        m_dependencies.loop.set_timer(*this, idle_deadline);
        return;
    }
    close();
    finish_attempt(request_result::timed_out, now);
}

void caller::close()
{
    m_connection.close();
}

std::size_t caller::max_read_bytes() const
{
    if (!m_is_slow)
    {
        return max_bytes_per_read;
    }
    const std::int64_t bytes =
        m_dependencies.options.read_bytes_per_second *
        slow_read_interval.count() /
        std::chrono::milliseconds(std::chrono::seconds(1)).count();
    return static_cast<std::size_t>(std::max<std::int64_t>(bytes, 1));
}

std::uint64_t caller::next_random()
{
    return domain::digest_of(fmt::format("{} {}", m_number, ++m_random_count),
                             m_dependencies.options.seed);
}

} // namespace turmeric::load
