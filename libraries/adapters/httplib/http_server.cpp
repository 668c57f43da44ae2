#include "libraries/adapters/httplib/http_server.hpp"

#include "libraries/adapters/httplib/connection_threads.hpp"

#include <atomic>
#include <fmt/format.h>
#include <httplib.h>
#include <sys/socket.h>
#include <thread>

namespace turmeric::adapters
{

namespace
{

// The library's own backlog of 5 refuses callers that connect together.
constexpr int listen_backlog = 1024;
// Patterns are matched recursively, so a longer path could use up a stack.
constexpr std::size_t most_path_bytes = 512;
constexpr std::size_t keep_alive_requests = 100'000;
constexpr const char* any_path = "/.*";

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

void apply(http_reply reply, httplib::Response& response)
{
    response.status = reply.status;
    for (const std::pair<std::string, std::string>& entry : reply.headers)
    {
        response.set_header(entry.first, entry.second);
    }
    if (!reply.stream)
    {
        response.set_content(reply.body, reply.content_type);
        return;
    }
    response.set_chunked_content_provider(
        reply.content_type,
        [stream = std::move(reply.stream)](std::size_t, httplib::DataSink& sink)
        {
            bool is_whole =
                stream([&sink](std::string_view piece)
                       { return sink.write(piece.data(), piece.size()); });
            if (is_whole)
            {
                sink.done();
            }
            return is_whole;
        });
}

error describe_library_failure(int status)
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
                "the request was not whole or not HTTP"};
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
    std::atomic<std::size_t> open{0};

    void configure();
    void configure_bounds();
    void register_handlers();
    [[nodiscard]] std::optional<error>
    refuse_early(const httplib::Request& request) const;
};

void http_server::implementation::configure()
{
    configure_bounds();
    server->set_pre_routing_handler(
        [this](const httplib::Request& request, httplib::Response& response)
        {
            std::optional<error> refusal = refuse_early(request);
            if (!refusal)
            {
                return httplib::Server::HandlerResponse::Unhandled;
            }
            // The body has not been read, so the connection cannot go on.
            response.set_header("Connection", "close");
            apply(make_problem(*refusal), response);
            return httplib::Server::HandlerResponse::Handled;
        });
    server->set_error_handler(
        [](const httplib::Request&, httplib::Response& response)
        {
            if (response.body.empty())
            {
                int status = response.status;
                apply(make_problem(describe_library_failure(status)), response);
            }
        });
    register_handlers();
}

void http_server::implementation::configure_bounds()
{
    server->new_task_queue = [this]
    { return new connection_threads(settings.max_connections, open); };
    server->set_tcp_nodelay(true);
    server->set_keep_alive_max_count(keep_alive_requests);
    server->set_keep_alive_timeout(settings.keep_alive.count());
    server->set_read_timeout(settings.read_timeout);
    server->set_write_timeout(settings.write_timeout);
    server->set_payload_max_length(settings.most_body_bytes);
    server->set_socket_options(
        [this](socket_t made)
        {
            int on = 1;
            ::setsockopt(made, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
            // Accepted connections inherit it; without it the kernel grows
            // the buffer of a slow reader to megabytes.
            int bytes = static_cast<int>(settings.send_buffer_bytes);
            ::setsockopt(made, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
            socket = made;
        });
}

void http_server::implementation::register_handlers()
{
    httplib::Server::Handler forward =
        [this](const httplib::Request& request, httplib::Response& response)
    { apply(handler(convert(request)), response); };
    server->Get(any_path, forward);
    server->Post(any_path, forward);
    server->Put(any_path, forward);
    server->Patch(any_path, forward);
    server->Delete(any_path, forward);
    server->Options(any_path, forward);
}

std::optional<error>
http_server::implementation::refuse_early(const httplib::Request& request) const
{
    if (connection_threads::is_refusing())
    {
        return error{result_code::too_many_connections, "connection",
                     "all connections of this router are taken",
                     outcome::not_run, std::chrono::seconds(1)};
    }
    bool may_have_body = request.method == "POST" || request.method == "PUT" ||
                         request.method == "PATCH";
    if (may_have_body && !request.has_header("Content-Length") &&
        !request.has_header("Transfer-Encoding"))
    {
        // The library would read until the caller closes.
        return error{result_code::malformed_body, "Content-Length",
                     "the length of the body is missing"};
    }
    if (request.path.size() > most_path_bytes)
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
    if (request.headers.size() > settings.most_headers ||
        bytes > settings.most_header_bytes)
    {
        return error{result_code::headers_too_large, "headers",
                     "too many headers or too long ones"};
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
    implementation& own = *m_implementation;
    if (own.settings.tls)
    {
        own.server = std::make_unique<httplib::SSLServer>(
            own.settings.tls->certificate.c_str(),
            own.settings.tls->private_key.c_str());
    }
    else
    {
        own.server = std::make_unique<httplib::Server>();
    }
    if (!own.server->is_valid())
    {
        return error{result_code::settings_invalid, "tls",
                     "the certificate or the key cannot be used"};
    }
    own.configure();
    int port = own.settings.port;
    bool is_bound = true;
    if (port == 0)
    {
        port = own.server->bind_to_any_port(own.settings.host);
        is_bound = port > 0;
    }
    else
    {
        is_bound = own.server->bind_to_port(own.settings.host, port);
    }
    if (!is_bound)
    {
        return error{result_code::settings_invalid, "listen",
                     fmt::format("{}:{} cannot be listened on",
                                 own.settings.host, own.settings.port)};
    }
    ::listen(own.socket, listen_backlog);
    own.accept_thread =
        std::thread([&own] { own.server->listen_after_bind(); });
    while (!own.server->is_running())
    {
        std::this_thread::yield();
    }
    return port;
}

void http_server::stop()
{
    implementation& own = *m_implementation;
    if (own.server != nullptr)
    {
        own.server->stop();
    }
    if (own.accept_thread.joinable())
    {
        own.accept_thread.join();
    }
}

std::size_t http_server::open_connections() const
{
    return m_implementation->open;
}

} // namespace turmeric::adapters
