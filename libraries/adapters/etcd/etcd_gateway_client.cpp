#include "libraries/adapters/etcd/etcd_gateway_client.hpp"

#include "libraries/adapters/etcd/etcd_errors.hpp"
#include "libraries/adapters/etcd/host_port.hpp"
#include "libraries/adapters/httplib/checked_client.hpp"
#include "libraries/adapters/httplib/limited_body.hpp"
#include "libraries/codecs/common/json_reader.hpp"

#include <httplib.h>

#include <cassert>
#include <optional>
#include <utility>

namespace turmeric::adapters
{

namespace
{

constexpr int http_ok = 200;
constexpr std::size_t max_reply_bytes = 16 << 20;
constexpr codecs::document_limits reply_limits =
    codecs::json_limits_for(max_reply_bytes);

const httplib::Headers& call_headers()
{
    // Compression costs more than it saves within a data centre.
    static const httplib::Headers headers = {{"Accept-Encoding", "identity"}};
    return headers;
}

httplib::Request make_request(const std::string& path, const json& body)
{
    httplib::Request request;
    request.method = "POST";
    request.path = path;
    request.headers = call_headers();
    request.set_header("Content-Type", "application/json");
    request.body = body.dump();
    return request;
}

bool is_connect_failure(httplib::Error client_error)
{
    return client_error == httplib::Error::Connection ||
           client_error == httplib::Error::ConnectionTimeout ||
           client_error == httplib::Error::BindIPAddress;
}

error lost_reply_error(etcd_call_kind kind, bool was_timeout)
{
    if (kind == etcd_call_kind::write)
    {
        return error{result_code::platform_outcome_unknown, "",
                     "the reply to a write was lost", outcome::outcome_unknown};
    }
    if (was_timeout)
    {
        return error{result_code::platform_timeout, "",
                     "the key-value service did not respond in time"};
    }
    return error{result_code::platform_unavailable, "",
                 "the key-value service closed the connection"};
}

error no_connection_error()
{
    return error{result_code::platform_unavailable, "",
                 "no connection to the key-value service"};
}

} // namespace

/// One gateway and its idle connections.
struct etcd_gateway_client::endpoint
{
    host_port address;
    std::mutex mutex;
    std::vector<std::unique_ptr<checked_client>> idle_clients;
};

/// The result of a call to one endpoint.
struct etcd_gateway_client::attempt
{
    result<json> outcome;
    /// Set if the next endpoint can be tried without running a write twice.
    bool may_try_next_endpoint = false;
};

etcd_gateway_client::etcd_gateway_client(etcd_settings settings)
    : m_settings(std::move(settings))
{
    assert(!m_settings.endpoints.empty());
    for (const std::string& text : m_settings.endpoints)
    {
        std::unique_ptr<endpoint> new_endpoint = std::make_unique<endpoint>();
        new_endpoint->address =
            parse_host_port(text).value_or(host_port{text, 0});
        m_endpoints.push_back(std::move(new_endpoint));
    }
}

etcd_gateway_client::~etcd_gateway_client() = default;

std::unique_ptr<checked_client>
etcd_gateway_client::make_client(const endpoint& target) const
{
    std::unique_ptr<checked_client> client = std::make_unique<checked_client>(
        target.address.host, target.address.port);
    client->set_connection_timeout(m_settings.connect_timeout);
    client->set_read_timeout(m_settings.call_timeout);
    client->set_write_timeout(m_settings.call_timeout);
    client->set_tcp_nodelay(true);
    client->set_keep_alive(true);
    return client;
}

std::unique_ptr<checked_client>
etcd_gateway_client::acquire_client(endpoint& target)
{
    {
        std::lock_guard<std::mutex> lock(target.mutex);
        if (!target.idle_clients.empty())
        {
            std::unique_ptr<checked_client> client =
                std::move(target.idle_clients.back());
            target.idle_clients.pop_back();
            return client;
        }
    }
    return make_client(target);
}

void etcd_gateway_client::release_client(endpoint& target,
                                         std::unique_ptr<checked_client> client)
{
    std::lock_guard<std::mutex> lock(target.mutex);
    if (target.idle_clients.size() < m_settings.max_idle_connections)
    {
        target.idle_clients.push_back(std::move(client));
    }
}

etcd_gateway_client::attempt
etcd_gateway_client::call_endpoint(endpoint& target, etcd_call_kind kind,
                                   httplib::Request request)
{
    std::unique_ptr<checked_client> client = acquire_client(target);
    const std::chrono::steady_clock::time_point started_at =
        std::chrono::steady_clock::now();
    limited_body received(max_reply_bytes);
    request.content_receiver = [&received](const char* data, std::size_t size,
                                           std::uint64_t, std::uint64_t)
    { return received.append(data, size); };
    const httplib::Result reply = client->send(request);
    if (!reply)
    {
        if (is_connect_failure(reply.error()))
        {
            return attempt{no_connection_error(), true};
        }
        const bool was_timeout =
            std::chrono::steady_clock::now() - started_at >=
            m_settings.call_timeout;
        const bool may_try_next_endpoint =
            kind == etcd_call_kind::read && !was_timeout;
        return attempt{lost_reply_error(kind, was_timeout),
                       may_try_next_endpoint};
    }
    release_client(target, std::move(client));
    if (reply->status != http_ok)
    {
        const error mapped_error =
            map_etcd_error_response(kind, reply->status, received.text());
        const bool may_try_next_endpoint =
            mapped_error.code == result_code::platform_unavailable;
        return attempt{mapped_error, may_try_next_endpoint};
    }
    result<json> parsed =
        codecs::parse_json(received.text(), result_code::platform_unavailable,
                           "reply", reply_limits);
    if (!parsed || !parsed.value().is_object())
    {
        return attempt{lost_reply_error(kind, false), false};
    }
    return attempt{std::move(parsed), false};
}

result<json> etcd_gateway_client::call(etcd_call_kind kind,
                                       const std::string& path,
                                       const json& body)
{
    const httplib::Request request = make_request(path, body);
    const std::size_t first =
        m_preferred_endpoint.load(std::memory_order_relaxed);
    std::optional<attempt> last;
    for (std::size_t step = 0; step < m_endpoints.size(); ++step)
    {
        const std::size_t index = (first + step) % m_endpoints.size();
        last.emplace(call_endpoint(*m_endpoints[index], kind, request));
        if (!last->may_try_next_endpoint)
        {
            m_preferred_endpoint.store(index, std::memory_order_relaxed);
            break;
        }
    }
    return std::move(last->outcome);
}

status etcd_gateway_client::stream(
    const std::string& path, const json& body,
    std::chrono::milliseconds idle_timeout,
    const std::function<bool(std::string_view)>& on_data)
{
    const std::size_t first =
        m_preferred_endpoint.load(std::memory_order_relaxed);
    for (std::size_t step = 0; step < m_endpoints.size(); ++step)
    {
        const std::size_t index = (first + step) % m_endpoints.size();
        std::unique_ptr<checked_client> client =
            make_client(*m_endpoints[index]);
        client->set_keep_alive(false);
        client->set_read_timeout(idle_timeout);
        int response_status = 0;
        limited_body error_body(max_reply_bytes);
        httplib::Request request = make_request(path, body);
        request.response_handler =
            [&response_status](const httplib::Response& head)
        {
            response_status = head.status;
            return true;
        };
        request.content_receiver = [&](const char* data, std::size_t size,
                                       std::uint64_t, std::uint64_t)
        {
            if (response_status != http_ok)
            {
                return error_body.append(data, size);
            }
            return on_data(std::string_view(data, size));
        };
        const httplib::Result reply = client->send(request);
        if (response_status == http_ok)
        {
            m_preferred_endpoint.store(index, std::memory_order_relaxed);
            return success();
        }
        if (response_status != 0)
        {
            return map_etcd_error_response(etcd_call_kind::read,
                                           response_status, error_body.text());
        }
        if (!reply && reply.error() == httplib::Error::Read)
        {
            return lost_reply_error(etcd_call_kind::read, true);
        }
    }
    return no_connection_error();
}

} // namespace turmeric::adapters
