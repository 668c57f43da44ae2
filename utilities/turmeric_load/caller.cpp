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

constexpr std::size_t read_bytes = 16'384;
constexpr std::chrono::milliseconds slow_interval{50};
constexpr std::chrono::milliseconds first_pause{50};
constexpr std::chrono::seconds longest_pause{2};
constexpr int http_too_many = 429;
constexpr int http_server_fault = 500;

/// Returns how long the reply asks to wait.
std::chrono::milliseconds retry_after(const reply_head& head)
{
    const std::string text = head.header("retry-after");
    std::int64_t seconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return std::chrono::seconds(seconds);
}

} // namespace

caller::caller(caller_parts parts, std::uint64_t number, bool is_slow)
    : m_parts(std::move(parts))
    , m_number(number)
    , m_is_slow(is_slow)
{
}

void caller::start(loop_time now)
{
    begin_request(now);
}

bool caller::is_done() const
{
    return m_state == state::done;
}

void caller::begin_request(loop_time now)
{
    m_plan = m_parts.next_request();
    if (!m_plan)
    {
        close();
        m_state = state::done;
        return;
    }
    m_tries = 0;
    m_avoided.clear();
    m_begun = now;
    begin_try(now);
}

void caller::begin_try(loop_time now)
{
    ++m_tries;
    m_state = state::working;
    m_parser = reply_parser();
    m_answer.emplace(answer_check(m_plan->prompt_digest, m_plan->tokens));
    m_has_text = false;
    m_is_sent = false;
    m_is_reading_paused = false;
    m_last_byte = now;
    m_is_reused = m_connection.is_open();
    if (!m_is_reused)
    {
        const std::string address = m_parts.routers.pick(draw(), m_avoided);
        if (!m_connection.open(address, m_is_slow))
        {
            end_try(request_end::unreachable, now);
            return;
        }
        m_parts.loop.watch(m_connection.socket(), true, *this);
    }
    else
    {
        m_parts.loop.change(m_connection.socket(), true, true, *this);
    }
    m_connection.set_output(
        write_request(m_parts.options, *m_plan, m_connection.address()));
    m_parts.loop.set_timer(*this, now + m_parts.options.idle_timeout);
}

void caller::on_socket(loop_time now)
{
    if (m_state != state::working)
    {
        // Nothing is under way; the peer closed a kept connection.
        close();
        return;
    }
    if (!m_is_sent)
    {
        const transfer sent = m_connection.flush();
        if (sent == transfer::closed)
        {
            end_connection(now);
            return;
        }
        m_is_sent = sent == transfer::moved;
        if (!m_is_sent)
        {
            return;
        }
        m_parts.loop.change(m_connection.socket(), true, false, *this);
    }
    read_reply(now);
}

void caller::read_reply(loop_time now)
{
    const transfer got = m_connection.read(m_buffer, read_limit());
    if (got == transfer::would_block)
    {
        return;
    }
    if (got == transfer::closed)
    {
        end_connection(now);
        return;
    }
    m_last_byte = now;
    bool has_text = false;
    const reply_parser::progress read = m_parser.feed(
        m_buffer, [this, &has_text](std::string_view body)
        { has_text = m_answer->take(m_parser.head(), body) || has_text; });
    if (has_text)
    {
        note_text(now);
    }
    if (read == reply_parser::progress::more)
    {
        pause_reading(now);
        return;
    }
    if (read == reply_parser::progress::invalid)
    {
        close();
        end_try(request_end::cut, now);
        return;
    }
    end_reply(now);
}

void caller::note_text(loop_time now)
{
    if (m_has_text)
    {
        m_parts.report.add_gap(now - m_last_text);
    }
    else
    {
        m_parts.report.add_first_token(now - m_begun);
    }
    m_has_text = true;
    m_last_text = now;
}

void caller::end_reply(loop_time now)
{
    m_answer->finish(m_parser.head());
    if (!m_parts.options.keeps_connections || !m_parser.keeps_connection())
    {
        close();
    }
    end_try(judge(), now);
}

void caller::end_connection(loop_time now)
{
    const bool had_begun = m_parser.has_begun();
    close();
    if (m_is_reused && !had_begun)
    {
        // A kept connection was closed by the peer as the request left. The
        // same key makes it safe to send the request again.
        m_parts.report.add_reconnect();
        --m_tries;
        begin_try(now);
        return;
    }
    if (m_parser.has_head() &&
        m_parser.close() == reply_parser::progress::complete)
    {
        end_reply(now);
        return;
    }
    end_try(had_begun ? request_end::cut : request_end::unreachable, now);
}

request_end caller::judge() const
{
    if (m_answer->check().is_wrong())
    {
        return request_end::wrong;
    }
    if (m_answer->failure())
    {
        return request_end::refused;
    }
    return m_answer->has_end() && m_answer->check().is_whole()
               ? request_end::whole
               : request_end::cut;
}

bool caller::is_worth_retrying(request_end end) const
{
    if (end == request_end::whole || end == request_end::wrong)
    {
        return false;
    }
    if (end != request_end::refused || !m_answer->failure())
    {
        return true;
    }
    const int http_status = m_answer->failure()->http_status;
    constexpr int http_ok = 200;
    return http_status == http_ok || http_status == http_too_many ||
           http_status >= http_server_fault;
}

void caller::end_try(request_end end, loop_time now)
{
    if (m_answer->check().is_wrong())
    {
        end = request_end::wrong;
    }
    if (!is_worth_retrying(end) || m_tries >= m_parts.options.attempts)
    {
        m_parts.loop.clear_timer(*this);
        m_parts.report.add_end(end, *m_answer);
        // The next request starts from the loop, not from this call's depth.
        m_plan.reset();
        m_state = state::pausing;
        m_parts.loop.set_timer(*this, now);
        return;
    }
    m_parts.report.add_retry(end);
    m_avoided = m_connection.address();
    const std::chrono::milliseconds asked = m_parser.has_head()
                                                ? retry_after(m_parser.head())
                                                : std::chrono::milliseconds(0);
    close();
    m_state = state::pausing;
    const std::chrono::milliseconds pause =
        std::clamp<std::chrono::milliseconds>(asked, first_pause * m_tries,
                                              longest_pause);
    m_parts.loop.set_timer(*this, now + pause);
}

void caller::pause_reading(loop_time now)
{
    if (!m_is_slow)
    {
        return;
    }
    m_is_reading_paused = true;
    m_parts.loop.change(m_connection.socket(), false, false, *this);
    m_parts.loop.set_timer(*this, now + slow_interval);
}

void caller::on_timer(loop_time now)
{
    if (m_state == state::pausing)
    {
        if (m_plan)
        {
            begin_try(now);
            return;
        }
        begin_request(now);
        return;
    }
    const loop_time idle_end = m_last_byte + m_parts.options.idle_timeout;
    if (m_is_reading_paused)
    {
        m_is_reading_paused = false;
        m_parts.loop.change(m_connection.socket(), true, false, *this);
        m_parts.loop.set_timer(*this, idle_end);
        return;
    }
    if (now < idle_end)
    {
        m_parts.loop.set_timer(*this, idle_end);
        return;
    }
    close();
    end_try(request_end::timed_out, now);
}

void caller::close()
{
    m_connection.close();
}

std::size_t caller::read_limit() const
{
    if (!m_is_slow)
    {
        return read_bytes;
    }
    const std::int64_t share =
        m_parts.options.read_bytes_per_second * slow_interval.count() /
        std::chrono::milliseconds(std::chrono::seconds(1)).count();
    return static_cast<std::size_t>(std::max<std::int64_t>(share, 1));
}

std::uint64_t caller::draw()
{
    return domain::digest_of(fmt::format("{} {}", m_number, ++m_draws),
                             m_parts.options.seed);
}

} // namespace turmeric::load
