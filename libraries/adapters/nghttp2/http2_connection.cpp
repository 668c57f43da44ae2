#include "libraries/adapters/nghttp2/http2_connection.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace turmeric::adapters
{

namespace
{

constexpr std::size_t max_body_bytes = std::size_t{2} * 1024 * 1024;
constexpr std::uint32_t max_concurrent_streams = 256;
constexpr std::uint32_t window_bytes = 1024 * 1024;
constexpr std::size_t read_buffer_bytes = std::size_t{16} * 1024;
constexpr std::chrono::seconds ping_interval{2};
constexpr std::chrono::seconds receive_timeout{5};
constexpr int status_ok = 200;
constexpr int status_error = 500;
constexpr std::string_view path_prefix = "/peer/";

nghttp2_nv make_header(std::string_view name, std::string_view value)
{
    // nghttp2 copies both strings and does not write through the pointers.
    auto bytes_of = [](std::string_view text)
    { return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data())); };
    return {bytes_of(name), bytes_of(value), name.size(), value.size(),
            NGHTTP2_NV_FLAG_NONE};
}

std::string_view view_of(const std::uint8_t* data, std::size_t length)
{
    return {reinterpret_cast<const char*>(data), length};
}

http2_connection& connection_of(void* user_data)
{
    return *static_cast<http2_connection*>(user_data);
}

error unavailable_error(const std::string& detail)
{
    return {result_code::peer_unavailable, "peer", detail,
            outcome::outcome_unknown};
}

} // namespace

http2_connection::http2_connection(int socket, http2_role role,
                                   peer_request_listener listener,
                                   ports::steady_time now)
    : m_socket(socket)
    , m_role(role)
    , m_listener(std::move(listener))
    , m_last_received(now)
    , m_last_ping(now)
{
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, &on_header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                              &on_data);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &on_frame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                           &on_close);
    if (role == http2_role::client)
    {
        nghttp2_session_client_new(&m_session, callbacks, this);
    }
    else
    {
        nghttp2_session_server_new(&m_session, callbacks, this);
    }
    nghttp2_session_callbacks_del(callbacks);
    std::array<nghttp2_settings_entry, 2> settings = {
        {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_concurrent_streams},
         {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, window_bytes}}};
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(),
                            settings.size());
}

http2_connection::~http2_connection()
{
    std::map<std::int32_t, stream> open_streams = std::move(m_streams);
    m_streams.clear();
    nghttp2_session_del(m_session);
    ::close(m_socket);
    for (auto& [id, open_stream] : open_streams)
    {
        if (open_stream.on_response)
        {
            open_stream.on_response(
                unavailable_error("the connection to the peer was closed"));
        }
    }
}

void http2_connection::call(const ports::peer_message& message,
                            ports::steady_time deadline,
                            peer_response_callback on_response)
{
    std::string path = std::string(path_prefix) + message.kind;
    std::array<nghttp2_nv, 5> headers = {
        make_header(":method", "POST"), make_header(":scheme", "http"),
        make_header(":authority", "peer"), make_header(":path", path),
        make_header("content-type", "application/json")};
    nghttp2_data_provider body{};
    body.read_callback = &read_outgoing_body;
    std::int32_t id = nghttp2_submit_request(m_session, nullptr, headers.data(),
                                             headers.size(), &body, nullptr);
    if (id < 0)
    {
        on_response(unavailable_error("no stream can be opened to the peer"));
        return;
    }
    stream& new_stream = stream_of(id);
    new_stream.outgoing_body = message.body;
    new_stream.deadline = deadline;
    new_stream.on_response = std::move(on_response);
}

bool http2_connection::receive(ports::steady_time now)
{
    std::array<std::uint8_t, read_buffer_bytes> buffer{};
    while (true)
    {
        ssize_t count = ::recv(m_socket, buffer.data(), buffer.size(), 0);
        if (count == 0)
        {
            return false;
        }
        if (count < 0)
        {
            return errno == EAGAIN || errno == EINTR;
        }
        m_last_received = now;
        ssize_t used = nghttp2_session_mem_recv(
            m_session, buffer.data(), static_cast<std::size_t>(count));
        if (used < 0)
        {
            return false;
        }
    }
}

bool http2_connection::flush()
{
    while (true)
    {
        if (m_output.empty())
        {
            const std::uint8_t* data = nullptr;
            ssize_t length = nghttp2_session_mem_send(m_session, &data);
            if (length < 0)
            {
                return false;
            }
            if (length == 0)
            {
                break;
            }
            m_output.assign(view_of(data, static_cast<std::size_t>(length)));
        }
        ssize_t written =
            ::send(m_socket, m_output.data(), m_output.size(), MSG_NOSIGNAL);
        if (written < 0)
        {
            return errno == EAGAIN || errno == EINTR;
        }
        m_output.erase(0, static_cast<std::size_t>(written));
    }
    return nghttp2_session_want_read(m_session) != 0 ||
           nghttp2_session_want_write(m_session) != 0;
}

bool http2_connection::check_timeouts(ports::steady_time now)
{
    std::vector<std::int32_t> expired_ids;
    for (const auto& [id, open_stream] : m_streams)
    {
        if (open_stream.on_response && now >= open_stream.deadline)
        {
            expired_ids.push_back(id);
        }
    }
    for (std::int32_t id : expired_ids)
    {
        nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, id,
                                  NGHTTP2_CANCEL);
        finish_stream(id, false);
    }
    if (now - m_last_received >= receive_timeout)
    {
        return false;
    }
    if (now - m_last_received >= ping_interval &&
        now - m_last_ping >= ping_interval)
    {
        m_last_ping = now;
        nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
    }
    return true;
}

int http2_connection::socket() const
{
    return m_socket;
}

bool http2_connection::wants_write() const
{
    return !m_output.empty() || nghttp2_session_want_write(m_session) != 0;
}

http2_connection::stream& http2_connection::stream_of(std::int32_t id)
{
    return m_streams[id];
}

void http2_connection::dispatch_request(std::int32_t id)
{
    stream& request = stream_of(id);
    if (request.is_body_too_large)
    {
        respond(id, error{result_code::peer_protocol, "body",
                          "the message is too large"});
        return;
    }
    m_listener(id, ports::peer_message{request.kind,
                                       std::move(request.received_body)});
}

void http2_connection::respond(std::int32_t stream_id,
                               const result<std::string>& response)
{
    auto found = m_streams.find(stream_id);
    if (found == m_streams.end())
    {
        return;
    }
    found->second.outgoing_body =
        response ? response.value() : response.failure().detail;
    submit_response(stream_id, response ? status_ok : status_error);
}

void http2_connection::submit_response(std::int32_t id, int status)
{
    std::string status_text = std::to_string(status);
    std::array<nghttp2_nv, 2> headers = {
        make_header(":status", status_text),
        make_header("content-type", "application/json")};
    nghttp2_data_provider body{};
    body.read_callback = &read_outgoing_body;
    nghttp2_submit_response(m_session, id, headers.data(), headers.size(),
                            &body);
}

void http2_connection::finish_stream(std::int32_t id,
                                     bool is_closed_without_error)
{
    auto found = m_streams.find(id);
    if (found == m_streams.end())
    {
        return;
    }
    stream ended_stream = std::move(found->second);
    m_streams.erase(found);
    if (!ended_stream.on_response)
    {
        return;
    }
    if (!is_closed_without_error)
    {
        ended_stream.on_response(
            unavailable_error("the peer did not respond in time"));
    }
    else if (!ended_stream.is_message_complete)
    {
        // A reset without an error ends a stream too (RFC 9113, 8.1).
        ended_stream.on_response(
            unavailable_error("the peer reset its response before the end"));
    }
    else if (ended_stream.status != status_ok || ended_stream.is_body_too_large)
    {
        ended_stream.on_response(error{result_code::peer_protocol, "peer",
                                       ended_stream.received_body});
    }
    else
    {
        ended_stream.on_response(std::move(ended_stream.received_body));
    }
}

int http2_connection::on_header(nghttp2_session* /*session*/,
                                const nghttp2_frame* frame,
                                const std::uint8_t* name,
                                std::size_t name_length,
                                const std::uint8_t* value,
                                std::size_t value_length,
                                std::uint8_t /*flags*/, void* user_data)
{
    stream& open_stream =
        connection_of(user_data).stream_of(frame->hd.stream_id);
    std::string_view key = view_of(name, name_length);
    std::string text(view_of(value, value_length));
    if (key == ":path" && text.starts_with(path_prefix))
    {
        open_stream.kind = text.substr(path_prefix.size());
    }
    else if (key == ":status")
    {
        open_stream.status = text == "200" ? status_ok : status_error;
    }
    return 0;
}

int http2_connection::on_data(nghttp2_session* /*session*/,
                              std::uint8_t /*flags*/, std::int32_t id,
                              const std::uint8_t* data, std::size_t length,
                              void* user_data)
{
    stream& open_stream = connection_of(user_data).stream_of(id);
    if (open_stream.received_body.size() + length > max_body_bytes)
    {
        open_stream.is_body_too_large = true;
        return 0;
    }
    open_stream.received_body.append(view_of(data, length));
    return 0;
}

int http2_connection::on_frame(nghttp2_session* /*session*/,
                               const nghttp2_frame* frame, void* user_data)
{
    http2_connection& connection = connection_of(user_data);
    bool ends_message =
        (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0 &&
        (frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS);
    if (!ends_message)
    {
        return 0;
    }
    connection.stream_of(frame->hd.stream_id).is_message_complete = true;
    if (connection.m_role == http2_role::server)
    {
        connection.dispatch_request(frame->hd.stream_id);
    }
    return 0;
}

int http2_connection::on_close(nghttp2_session* /*session*/, std::int32_t id,
                               std::uint32_t code, void* user_data)
{
    connection_of(user_data).finish_stream(id, code == NGHTTP2_NO_ERROR);
    return 0;
}

ssize_t http2_connection::read_outgoing_body(
    nghttp2_session* /*session*/, std::int32_t id, std::uint8_t* buffer,
    std::size_t length, std::uint32_t* flags, nghttp2_data_source* /*source*/,
    void* user_data)
{
    stream& open_stream = connection_of(user_data).stream_of(id);
    std::size_t count = std::min(length, open_stream.outgoing_body.size() -
                                             open_stream.sent_bytes);
    std::copy_n(open_stream.outgoing_body.data() + open_stream.sent_bytes,
                count, buffer);
    open_stream.sent_bytes += count;
    if (open_stream.sent_bytes == open_stream.outgoing_body.size())
    {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(count);
}

} // namespace turmeric::adapters
