#include "libraries/adapters/etcd/etcd_connections.hpp"

#include "libraries/adapters/etcd/address.hpp"
#include "libraries/adapters/etcd/etcd_errors.hpp"
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

const httplib::Headers& call_headers()
{
    // Compression costs more than it saves within a data centre.
    static const httplib::Headers headers = {{"Accept-Encoding", "identity"}};
    return headers;
}

bool was_never_connected(httplib::Error fault)
{
    return fault == httplib::Error::Connection ||
           fault == httplib::Error::ConnectionTimeout ||
           fault == httplib::Error::BindIPAddress;
}

error lost_reply(etcd_call_kind kind, bool was_timeout)
{
    if (kind == etcd_call_kind::write)
    {
        return error{result_code::platform_outcome_unknown, "",
                     "the reply of a write was lost", outcome::outcome_unknown};
    }
    if (was_timeout)
    {
        return error{result_code::platform_timeout, "",
                     "the key-value service was silent too long"};
    }
    return error{result_code::platform_unavailable, "",
                 "the key-value service closed the connection"};
}

error no_connection()
{
    return error{result_code::platform_unavailable, "",
                 "no connection to the key-value service"};
}

} // namespace

/// One gateway and its idle connections.
struct etcd_connections::endpoint
{
    host_port address;
    std::mutex mutex;
    std::vector<std::unique_ptr<httplib::Client>> idle;
};

/// The end of one try at one endpoint.
struct etcd_connections::attempt
{
    result<json> outcome;
    /// Another endpoint may be tried without running a write twice.
    bool may_move_on = false;
};

etcd_connections::etcd_connections(etcd_settings settings)
    : m_settings(std::move(settings))
{
    assert(!m_settings.endpoints.empty());
    for (const std::string& text : m_settings.endpoints)
    {
        std::unique_ptr<endpoint> made = std::make_unique<endpoint>();
        made->address = parse_host_port(text).value_or(host_port{text, 0});
        m_endpoints.push_back(std::move(made));
    }
}

etcd_connections::~etcd_connections() = default;

std::unique_ptr<httplib::Client>
etcd_connections::connect_to(const endpoint& target) const
{
    std::unique_ptr<httplib::Client> client = std::make_unique<httplib::Client>(
        target.address.host, target.address.port);
    client->set_connection_timeout(m_settings.connect_timeout);
    client->set_read_timeout(m_settings.call_timeout);
    client->set_write_timeout(m_settings.call_timeout);
    client->set_tcp_nodelay(true);
    client->set_keep_alive(true);
    return client;
}

std::unique_ptr<httplib::Client> etcd_connections::take(endpoint& target)
{
    {
        std::lock_guard<std::mutex> lock(target.mutex);
        if (!target.idle.empty())
        {
            std::unique_ptr<httplib::Client> client =
                std::move(target.idle.back());
            target.idle.pop_back();
            return client;
        }
    }
    return connect_to(target);
}

void etcd_connections::give_back(endpoint& target,
                                 std::unique_ptr<httplib::Client> client)
{
    std::lock_guard<std::mutex> lock(target.mutex);
    if (target.idle.size() < m_settings.kept_connections)
    {
        target.idle.push_back(std::move(client));
    }
}

etcd_connections::attempt etcd_connections::call_once(endpoint& target,
                                                      etcd_call_kind kind,
                                                      const std::string& path,
                                                      const std::string& body)
{
    std::unique_ptr<httplib::Client> client = take(target);
    const std::chrono::steady_clock::time_point begin =
        std::chrono::steady_clock::now();
    const httplib::Result reply =
        client->Post(path, call_headers(), body, "application/json");
    if (!reply)
    {
        if (was_never_connected(reply.error()))
        {
            return attempt{no_connection(), true};
        }
        const bool was_timeout =
            std::chrono::steady_clock::now() - begin >= m_settings.call_timeout;
        const bool may_move_on = kind == etcd_call_kind::read && !was_timeout;
        return attempt{lost_reply(kind, was_timeout), may_move_on};
    }
    give_back(target, std::move(client));
    if (reply->status != http_ok)
    {
        const error refused =
            map_etcd_refusal(kind, reply->status, reply->body);
        const bool may_move_on =
            refused.code == result_code::platform_unavailable;
        return attempt{refused, may_move_on};
    }
    result<json> parsed = codecs::parse_json(
        reply->body, result_code::platform_unavailable, "reply");
    if (!parsed || !parsed.value().is_object())
    {
        return attempt{lost_reply(kind, false), false};
    }
    return attempt{std::move(parsed), false};
}

result<json> etcd_connections::call(etcd_call_kind kind,
                                    const std::string& path, const json& body)
{
    const std::string text = body.dump();
    const std::size_t first = m_preferred.load(std::memory_order_relaxed);
    std::optional<attempt> last;
    for (std::size_t step = 0; step < m_endpoints.size(); ++step)
    {
        const std::size_t index = (first + step) % m_endpoints.size();
        last.emplace(call_once(*m_endpoints[index], kind, path, text));
        if (!last->may_move_on)
        {
            m_preferred.store(index, std::memory_order_relaxed);
            break;
        }
    }
    return std::move(last->outcome);
}

status
etcd_connections::stream(const std::string& path, const json& body,
                         std::chrono::milliseconds silence,
                         const std::function<bool(std::string_view)>& on_data)
{
    const std::size_t first = m_preferred.load(std::memory_order_relaxed);
    for (std::size_t step = 0; step < m_endpoints.size(); ++step)
    {
        const std::size_t index = (first + step) % m_endpoints.size();
        std::unique_ptr<httplib::Client> client =
            connect_to(*m_endpoints[index]);
        client->set_keep_alive(false);
        client->set_read_timeout(silence);
        int answered = 0;
        std::string refusal;
        httplib::Request request;
        request.method = "POST";
        request.path = path;
        request.headers = call_headers();
        request.set_header("Content-Type", "application/json");
        request.body = body.dump();
        request.response_handler = [&answered](const httplib::Response& head)
        {
            answered = head.status;
            return true;
        };
        request.content_receiver = [&](const char* data, std::size_t size,
                                       std::uint64_t, std::uint64_t)
        {
            if (answered != http_ok)
            {
                refusal.append(data, size);
                return true;
            }
            return on_data(std::string_view(data, size));
        };
        const httplib::Result reply = client->send(request);
        if (answered == http_ok)
        {
            m_preferred.store(index, std::memory_order_relaxed);
            return success();
        }
        if (answered != 0)
        {
            return map_etcd_refusal(etcd_call_kind::read, answered, refusal);
        }
        if (!reply && reply.error() == httplib::Error::Read)
        {
            return lost_reply(etcd_call_kind::read, true);
        }
    }
    return no_connection();
}

} // namespace turmeric::adapters
