#include "libraries/adapters/httplib/http_server.hpp"

#include "libraries/adapters/httplib/connection_thread_pool.hpp"

#include <atomic>
#include <fmt/format.h>
#include <httplib.h>
#include <sys/socket.h>
#include <thread>

namespace turmeric::adapters
{

namespace
{

// The library's default backlog of 5 would refuse callers that connect at the
// same time.
constexpr int listen_backlog = 1024;
// Path patterns are matched recursively, so a longer path could overflow the
// stack.
constexpr std::size_t max_path_bytes = 512;
constexpr std::size_t max_requests_per_connection = 100'000;
constexpr const char* any_path_pattern = "/.*";

http_request convert(const httplib::Request& request)
{
    http_request converted;
    converted.method = request.method;
    converted.path = request.path;
    converted.target = request.target;
    converted.body = request.body;
    converted.remote_address = request.remote_addr;
    for (const std::pair<const std::string, std::string>& entry :
         request.headers)
    {
        converted.headers.emplace_back(entry.first, entry.second);
    }
    return converted;
}

void copy_to_response(http_response response, httplib::Response& target)
{
    target.status = response.status;
    for (const std::pair<std::string, std::string>& entry : response.headers)
    {
        target.set_header(entry.first, entry.second);
    }
    if (!response.stream)
    {
        target.set_content(response.body, response.content_type);
        return;
    }
    target.set_chunked_content_provider(
        response.content_type,
        [stream = std::move(response.stream)](std::size_t,
                                              httplib::DataSink& sink)
        {
            bool is_complete =
                stream([&sink](std::string_view part)
                       { return sink.write(part.data(), part.size()); });
            if (is_complete)
            {
                sink.done();
            }
            return is_complete;
        });
}

error make_library_error(int status)
{
    constexpr int payload_too_large = 413;
    constexpr int uri_too_long = 414;
    constexpr int not_found = 404;
    switch (status)
    {
    case payload_too_large:
        return {result_code::body_too_large, "body", "the body is too large"};
    case uri_too_long:
        return {result_code::headers_too_large, "path", "the path is too long"};
    case not_found:
        return {result_code::unsupported_method, "method",
                "this method is not supported"};
    default:
        return {result_code::malformed_body, "body",
                "the request is incomplete or not valid HTTP"};
    }
}

} // namespace

struct http_server::implementation
{
    http_server_settings settings;
    http_handler handler;
    std::unique_ptr<httplib::Server> server;
    std::thread accept_thread;
    std::atomic<int> socket{-1};
    std::atomic<std::size_t> open_connections{0};

    void configure();
    void configure_limits();
    void register_handlers();
    [[nodiscard]] std::optional<error>
    check_request_head(const httplib::Request& request) const;
};

void http_server::implementation::configure()
{
    configure_limits();
    server->set_pre_routing_handler(
        [this](const httplib::Request& request, httplib::Response& response)
        {
            std::optional<error> head_error = check_request_head(request);
            if (!head_error)
            {
                return httplib::Server::HandlerResponse::Unhandled;
            }
            // The body has not been read, so the connection cannot be reused.
            response.set_header("Connection", "close");
            copy_to_response(make_problem(*head_error), response);
            return httplib::Server::HandlerResponse::Handled;
        });
    server->set_error_handler(
        [](const httplib::Request&, httplib::Response& response)
        {
            if (response.body.empty())
            {
                int status = response.status;
                copy_to_response(make_problem(make_library_error(status)),
                                 response);
            }
        });
    register_handlers();
}

void http_server::implementation::configure_limits()
{
    server->new_task_queue = [this]
    {
        return new connection_thread_pool(settings.max_connections,
                                          open_connections);
    };
    server->set_tcp_nodelay(true);
    server->set_keep_alive_max_count(max_requests_per_connection);
    server->set_keep_alive_timeout(settings.keep_alive_timeout.count());
    server->set_read_timeout(settings.read_timeout);
    server->set_write_timeout(settings.write_timeout);
    server->set_payload_max_length(settings.max_body_bytes);
    server->set_socket_options(
        [this](socket_t listen_socket)
        {
            int on = 1;
            ::setsockopt(listen_socket, SOL_SOCKET, SO_REUSEADDR, &on,
                         sizeof(on));
            // Accepted connections inherit this size. Without it, the kernel
            // grows the send buffer of a slow reader to megabytes.
            int bytes = static_cast<int>(settings.send_buffer_bytes);
            ::setsockopt(listen_socket, SOL_SOCKET, SO_SNDBUF, &bytes,
                         sizeof(bytes));
            socket = listen_socket;
        });
}

void http_server::implementation::register_handlers()
{
    httplib::Server::Handler handle_request =
        [this](const httplib::Request& request, httplib::Response& response)
    { copy_to_response(handler(convert(request)), response); };
    server->Get(any_path_pattern, handle_request);
    server->Post(any_path_pattern, handle_request);
    server->Put(any_path_pattern, handle_request);
    server->Patch(any_path_pattern, handle_request);
    server->Delete(any_path_pattern, handle_request);
    server->Options(any_path_pattern, handle_request);
}

std::optional<error> http_server::implementation::check_request_head(
    const httplib::Request& request) const
{
    if (connection_thread_pool::is_overflow_thread())
    {
        return error{result_code::too_many_connections, "connection",
                     "all connections of this server are in use",
                     outcome::not_run, std::chrono::seconds(1)};
    }
    bool may_have_body = request.method == "POST" || request.method == "PUT" ||
                         request.method == "PATCH";
    if (may_have_body && !request.has_header("Content-Length") &&
        !request.has_header("Transfer-Encoding"))
    {
        // The library would read the body until the caller disconnects.
        return error{result_code::malformed_body, "Content-Length",
                     "the length of the body is missing"};
    }
    if (request.path.size() > max_path_bytes)
    {
        return error{result_code::headers_too_large, "path",
                     "the path is too long"};
    }
    std::size_t bytes = 0;
    for (const std::pair<const std::string, std::string>& entry :
         request.headers)
    {
        bytes += entry.first.size() + entry.second.size();
    }
    if (request.headers.size() > settings.max_headers ||
        bytes > settings.max_header_bytes)
    {
        return error{result_code::headers_too_large, "headers",
                     "the headers are too many or too long"};
    }
    return std::nullopt;
}

http_server::http_server(http_server_settings settings, http_handler handler)
    : m_implementation(std::make_unique<implementation>())
{
    m_implementation->settings = std::move(settings);
    m_implementation->handler = std::move(handler);
}

http_server::~http_server()
{
    stop();
}

result<int> http_server::start()
{
    implementation& server_state = *m_implementation;
    if (server_state.settings.tls)
    {
        server_state.server = std::make_unique<httplib::SSLServer>(
            server_state.settings.tls->certificate.c_str(),
            server_state.settings.tls->private_key.c_str());
    }
    else
    {
        server_state.server = std::make_unique<httplib::Server>();
    }
    if (!server_state.server->is_valid())
    {
        return error{result_code::settings_invalid, "tls",
                     "the certificate or the key cannot be used"};
    }
    server_state.configure();
    int port = server_state.settings.port;
    bool is_bound = true;
    if (port == 0)
    {
        port =
            server_state.server->bind_to_any_port(server_state.settings.host);
        is_bound = port > 0;
    }
    else
    {
        is_bound =
            server_state.server->bind_to_port(server_state.settings.host, port);
    }
    if (!is_bound)
    {
        return error{result_code::settings_invalid, "listen",
                     fmt::format("cannot listen on {}:{}",
                                 server_state.settings.host,
                                 server_state.settings.port)};
    }
    ::listen(server_state.socket, listen_backlog);
    server_state.accept_thread = std::thread(
        [&server_state] { server_state.server->listen_after_bind(); });
    while (!server_state.server->is_running())
    {
        std::this_thread::yield();
    }
    return port;
}

void http_server::stop()
{
    implementation& server_state = *m_implementation;
    if (server_state.server != nullptr)
    {
        server_state.server->stop();
    }
    if (server_state.accept_thread.joinable())
    {
        server_state.accept_thread.join();
    }
}

std::size_t http_server::open_connections() const
{
    return m_implementation->open_connections;
}

} // namespace turmeric::adapters
