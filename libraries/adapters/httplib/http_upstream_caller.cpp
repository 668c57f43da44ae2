#include "libraries/adapters/httplib/http_upstream_caller.hpp"

#include "libraries/adapters/etcd/host_port.hpp"
#include "libraries/adapters/httplib/checked_client.hpp"

#include <fmt/format.h>
#include <httplib.h>
#include <map>
#include <mutex>
#include <vector>

namespace turmeric::adapters
{

namespace
{

using client_pointer = std::unique_ptr<checked_client>;

error map_client_error(httplib::Error client_error,
                       ports::response_defect defect,
                       const std::string& address)
{
    std::string detail =
        fmt::format("{}: {}", address, httplib::to_string(client_error));
    if (defect != ports::response_defect::none)
    {
        detail += fmt::format(", {}", name_of(defect));
    }
    switch (client_error)
    {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
    case httplib::Error::SSLConnection:
        return {result_code::upstream_failed, "upstream", detail};
    case httplib::Error::Canceled:
        return {result_code::caller_gone, "upstream", detail,
                outcome::outcome_unknown};
    default:
        return {result_code::stream_broken, "upstream", detail,
                outcome::outcome_unknown};
    }
}

ports::upstream_response_head convert(const httplib::Response& response)
{
    ports::upstream_response_head head;
    head.status = response.status;
    head.content_type = response.get_header_value("Content-Type");
    for (const std::pair<const std::string, std::string>& entry :
         response.headers)
    {
        head.headers.emplace_back(entry.first, entry.second);
    }
    return head;
}

httplib::Request convert(const ports::upstream_request& request,
                         const ports::upstream_response_sink& sink)
{
    httplib::Request converted;
    converted.method = request.method;
    converted.path = request.path;
    for (const std::pair<std::string, std::string>& entry : request.headers)
    {
        converted.headers.emplace(entry.first, entry.second);
    }
    converted.body = request.body;
    if (!request.content_type.empty())
    {
        converted.headers.emplace("Content-Type", request.content_type);
    }
    converted.response_handler = [&sink](const httplib::Response& response)
    { return sink.on_head(convert(response)); };
    converted.content_receiver = [&sink](const char* data, std::size_t size,
                                         std::uint64_t, std::uint64_t)
    { return sink.on_body(std::string_view(data, size)); };
    return converted;
}

} // namespace

class http_upstream_caller::idle_client_pool
{
public:
    explicit idle_client_pool(std::size_t max_idle_connections)
        : m_max_idle_connections(max_idle_connections)
    {
    }

    client_pointer take_idle_client(const std::string& address)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        std::vector<client_pointer>& clients = m_clients[address];
        if (clients.empty())
        {
            return nullptr;
        }
        client_pointer client = std::move(clients.back());
        clients.pop_back();
        return client;
    }

    void add_idle_client(const std::string& address, client_pointer client)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        std::vector<client_pointer>& clients = m_clients[address];
        if (clients.size() < m_max_idle_connections)
        {
            clients.push_back(std::move(client));
        }
    }

private:
    const std::size_t m_max_idle_connections;
    std::mutex m_mutex;
    std::map<std::string, std::vector<client_pointer>> m_clients;
};

http_upstream_caller::http_upstream_caller(
    std::chrono::milliseconds connect_timeout, std::size_t max_idle_connections)
    : m_connect_timeout(connect_timeout)
    , m_idle_clients(std::make_unique<idle_client_pool>(max_idle_connections))
{
}

http_upstream_caller::~http_upstream_caller() = default;

result<ports::upstream_completion>
http_upstream_caller::send(const std::string& address,
                           const ports::upstream_request& request,
                           const ports::upstream_response_sink& sink)
{
    // The upstream may close an idle connection just as a request is written to
    // it, which leaves the outcome unknown.
    client_pointer client = request.needs_new_connection
                                ? nullptr
                                : m_idle_clients->take_idle_client(address);
    if (client == nullptr)
    {
        const host_port target =
            parse_host_port(address).value_or(host_port{address, 0});
        client = std::make_unique<checked_client>(target.host, target.port);
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        client->set_connection_timeout(m_connect_timeout);
    }
    client->set_read_timeout(request.idle_timeout);
    client->set_write_timeout(request.idle_timeout);

    httplib::Request converted = convert(request, sink);
    httplib::Response response;
    httplib::Error client_error = httplib::Error::Success;
    if (!client->send(converted, response, client_error))
    {
        return map_client_error(client_error, client->defect(), address);
    }
    m_idle_clients->add_idle_client(address, std::move(client));
    return ports::upstream_completion{response.status};
}

} // namespace turmeric::adapters
