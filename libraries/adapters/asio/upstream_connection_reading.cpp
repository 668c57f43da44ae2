#include "libraries/adapters/asio/upstream_connection.hpp"

#include "libraries/ports/http_syntax.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::adapters
{

namespace
{

namespace http = boost::beast::http;

/// Size limit for bytes that the parser cannot use before more arrive, such as
/// a chunk header or trailers.
constexpr std::size_t max_unparsed_bytes = 64 << 10;
/// Size limit for the bodies of responses to other requests in one call.
constexpr std::size_t max_skipped_bytes = 256 << 10;
/// Responses to other requests that are skipped in one call. One more fails the
/// call and closes the connection.
constexpr std::int32_t max_mismatched_responses = 2;
/// Interim responses, such as 100 and 103, that are skipped in one call. One
/// more fails the call and closes the connection.
constexpr std::int32_t max_interim_responses = 8;

ports::response_defect
defect_of_parse_error(const boost::system::error_code& error_code)
{
    if (error_code == http::error::bad_status)
    {
        return ports::response_defect::invalid_status;
    }
    if (error_code == http::error::bad_field)
    {
        return ports::response_defect::invalid_field_name;
    }
    const bool is_too_long = error_code == http::error::header_limit ||
                             error_code == http::error::need_more;
    return is_too_long ? ports::response_defect::too_long
                       : ports::response_defect::invalid_syntax;
}

} // namespace

void upstream_connection::read()
{
    if (m_is_reading || m_is_closed)
    {
        return;
    }
    m_is_reading = true;
    const std::shared_ptr<upstream_connection> self = shared_from_this();
    m_socket.async_read_some(
        m_buffer.read_target(),
        [self](const boost::system::error_code& error_code, std::size_t bytes)
        { self->on_read(error_code, bytes); });
}

void upstream_connection::on_read(const boost::system::error_code& error_code,
                                  std::size_t bytes)
{
    m_is_reading = false;
    if (m_is_closed)
    {
        return;
    }
    if (m_listener == nullptr)
    {
        // The connection is idle. Bytes without a request, an error or the end
        // of the stream all mean that it cannot carry another call.
        close();
        return;
    }
    if (error_code)
    {
        on_read_error(error_code);
        return;
    }
    if (m_pool.m_meter != nullptr)
    {
        m_pool.m_meter->record_received(bytes, m_pool.m_clock.steady_now());
    }
    m_buffer.append(bytes);
    parse();
}

void upstream_connection::on_read_error(
    const boost::system::error_code& read_error)
{
    // The kernel reports a reset or a timeout once. After a write that got the
    // report, reading ends as if the upstream had closed the connection.
    const bool is_lost = read_error == asio::error::eof && m_write_error;
    const boost::system::error_code& error_code =
        is_lost ? m_write_error : read_error;
    if (error_code != asio::error::eof)
    {
        const bool is_ended_by_peer =
            error_code == asio::error::connection_reset ||
            error_code == asio::error::broken_pipe;
        if (is_ended_by_peer)
        {
            fail(ports::transport_failure::broken,
                 ports::response_defect::reset);
            return;
        }
        fail(ports::transport_failure::unresponsive,
             ports::response_defect::unacknowledged);
        return;
    }
    m_has_reached_eof = true;
    if (m_is_waiting_for_listener)
    {
        return;
    }
    parse();
}

void upstream_connection::on_parse_error(
    const boost::system::error_code& error_code)
{
    fail(m_is_head_delivered ? ports::transport_failure::broken
                             : ports::transport_failure::unreadable,
         defect_of_parse_error(error_code));
}

void upstream_connection::parse()
{
    while (m_buffer.size() > 0 && !m_parser->is_done())
    {
        const boost::system::error_code error_code = m_buffer.feed(*m_parser);
        if (error_code == http::error::need_more &&
            m_buffer.size() <= max_unparsed_bytes)
        {
            break;
        }
        if (error_code)
        {
            on_parse_error(error_code);
            return;
        }
    }
    if (m_has_reached_eof && !m_parser->is_done())
    {
        boost::system::error_code error_code;
        if (m_parser->got_some())
        {
            m_parser->put_eof(error_code);
        }
        if (error_code || !m_parser->is_done())
        {
            fail(ports::transport_failure::broken,
                 ports::response_defect::truncated);
            return;
        }
    }
    if (m_parser->is_header_done() && !m_is_head_delivered &&
        !m_is_skipping_response)
    {
        deliver_head();
    }
    if (m_listener == nullptr || m_is_closed)
    {
        return;
    }
    if (m_skipped_bytes > max_skipped_bytes)
    {
        fail(ports::transport_failure::unreadable,
             ports::response_defect::unexpected_responses);
        return;
    }
    if (deliver_part())
    {
        return;
    }
    if (m_parser->is_done())
    {
        on_response_complete();
        return;
    }
    read();
}

upstream_connection::echoed_id upstream_connection::compare_echoed_id() const
{
    if (m_call.echoed_field_name.empty())
    {
        return echoed_id::matching;
    }
    const auto [first, last] =
        m_parser->get().equal_range(m_call.echoed_field_name);
    if (first == last)
    {
        return echoed_id::missing;
    }
    const bool is_matching =
        std::all_of(first, last,
                    [this](const auto& field)
                    { return field.value() == m_call.echoed_field_value; });
    return is_matching ? echoed_id::matching : echoed_id::other;
}

bool upstream_connection::is_own_response(bool is_first) const
{
    // The upstream may have sent an earlier response once more, but not on a
    // connection that has had none.
    const echoed_id id = compare_echoed_id();
    return id == echoed_id::matching || (id == echoed_id::missing && is_first);
}

void upstream_connection::skip_interim_response()
{
    ++m_interim_responses;
    // After a switch of protocols, which the router never asks for, the bytes
    // are no HTTP.
    if (m_interim_responses > max_interim_responses ||
        m_parser->get().result() == http::status::switching_protocols)
    {
        fail(ports::transport_failure::unreadable,
             ports::response_defect::unexpected_responses);
        return;
    }
    m_is_skipping_response = true;
}

void upstream_connection::deliver_head()
{
    // By the number, since the library knows not all statuses.
    const int status = static_cast<int>(m_parser->get().result_int());
    if (!ports::is_valid_status(status))
    {
        // The parser accepts any three digits.
        fail(ports::transport_failure::unreadable,
             ports::response_defect::invalid_status);
        return;
    }
    if (ports::is_interim_status(status))
    {
        skip_interim_response();
        return;
    }
    const bool is_first = !std::exchange(m_has_received_response, true);
    if (!is_own_response(is_first))
    {
        ++m_mismatched_responses;
        if (m_mismatched_responses > max_mismatched_responses)
        {
            fail(ports::transport_failure::unreadable,
                 ports::response_defect::unexpected_responses);
            return;
        }
        m_is_skipping_response = true;
        return;
    }
    m_is_head_delivered = true;
    const std::shared_ptr<ports::call_listener> listener = m_listener;
    listener->on_head(head_of(m_parser->get()));
}

bool upstream_connection::deliver_part()
{
    std::string& body = m_parser->get().body();
    if (m_is_skipping_response)
    {
        m_skipped_bytes += body.size();
        body.clear();
        return false;
    }
    if (body.empty() || !m_is_head_delivered)
    {
        return false;
    }
    std::string part = std::exchange(body, std::string());
    m_is_waiting_for_listener = true;
    const std::shared_ptr<ports::call_listener> listener = m_listener;
    listener->on_part(std::move(part));
    return true;
}

void upstream_connection::read_more()
{
    if (m_listener == nullptr || m_is_closed || !m_is_waiting_for_listener)
    {
        return;
    }
    m_is_waiting_for_listener = false;
    // Posted, since the listener may call this from within `on_part`, and the
    // call to `parse` would be recursive.
    const std::shared_ptr<upstream_connection> self = shared_from_this();
    asio::post(m_pool.m_loop,
               [self]
               {
                   if (self->m_listener != nullptr && !self->m_is_closed)
                   {
                       self->parse();
                   }
               });
}

void upstream_connection::on_response_complete()
{
    if (m_is_skipping_response)
    {
        start_next_response();
        parse();
        return;
    }
    const std::shared_ptr<ports::call_listener> listener =
        std::exchange(m_listener, nullptr);
    const bool is_reusable =
        m_is_request_sent && m_buffer.size() == 0 && !m_has_reached_eof &&
        m_mismatched_responses == 0 &&
        compare_echoed_id() == echoed_id::matching && m_parser->keep_alive();
    const std::chrono::milliseconds max_idle = compute_max_idle();
    if (is_reusable && max_idle.count() > 0)
    {
        become_idle(max_idle);
    }
    else
    {
        close();
    }
    listener->on_end();
}

} // namespace turmeric::adapters
