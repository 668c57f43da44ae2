#include "libraries/adapters/etcd/etcd_gateway_client.hpp"
#include "libraries/adapters/etcd/etcd_watch_reader.hpp"
#include "libraries/adapters/vm_list/http_vm_list.hpp"
#include "tests/endless_bytes/endless_server.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <fstream>

using namespace turmeric;
using namespace turmeric::tests;

namespace
{

/// The most that a client may keep of a VM list and of an etcd response.
constexpr std::size_t max_list_bytes = 8 << 20;
constexpr std::size_t max_reply_bytes = 16 << 20;
/// Where a test gives up: chunks of two bytes take seven bytes of a connection,
/// whose sockets hold some more.
constexpr std::size_t max_endless_bytes = 4 * max_reply_bytes + (16 << 20);

/// Returns the largest size of a buffer that the system gives a TCP socket.
std::size_t max_buffer_bytes(const char* setting)
{
    std::ifstream sizes(std::string("/proc/sys/net/ipv4/") + setting);
    std::size_t least = 0;
    std::size_t initial = 0;
    std::size_t most = 0;
    sizes >> least >> initial >> most;
    return most;
}

/// Returns the most bytes that a server can send until a client has kept
/// `kept_bytes` of a body and closes: their framing, what the sockets hold, and
/// a block of the server.
std::size_t max_sent_bytes(const endless_response& response,
                           std::size_t kept_bytes)
{
    const std::string chunk = "2\r\nab\r\n";
    constexpr std::size_t chunk_data_bytes = 2;
    constexpr std::size_t block_bytes = 8'192;
    const std::size_t framed_bytes =
        response.repeated == chunk
            ? kept_bytes / chunk_data_bytes * chunk.size()
            : kept_bytes;
    const std::size_t socket_bytes =
        max_buffer_bytes("tcp_rmem") + max_buffer_bytes("tcp_wmem");
    return std::min(framed_bytes + socket_bytes + block_bytes,
                    max_endless_bytes - 1);
}

/// Returns the responses whose bodies never end.
std::vector<endless_response> make_endless_bodies()
{
    std::vector<endless_response> bodies;
    for (const endless_response& response : make_endless_responses())
    {
        if (response.effect == endless_effect::endless_body)
        {
            bodies.push_back(response);
        }
    }
    return bodies;
}

} // namespace

TEST_GROUP(endless_platform_group){};

TEST(endless_platform_group, a_vm_list_without_end_is_not_kept)
{
    for (const endless_response& response : make_endless_bodies())
    {
        const endless_server server(response, max_endless_bytes);
        adapters::http_vm_list list({server.address_text()});
        CHECK_TEXT(!list.read(), response.name);
        CHECK_TEXT(server.sent() <= max_sent_bytes(response, max_list_bytes),
                   response.name);
    }
}

TEST(endless_platform_group, an_etcd_response_without_end_is_not_kept)
{
    for (const endless_response& response : make_endless_bodies())
    {
        const endless_server server(response, max_endless_bytes);
        adapters::etcd_settings settings;
        settings.endpoints = {server.address_text()};
        adapters::etcd_gateway_client client(settings);
        CHECK_TEXT(!client.call(adapters::etcd_call_kind::read, "/v3/kv/range",
                                json::object()),
                   response.name);
        CHECK_TEXT(server.sent() <= max_sent_bytes(response, max_reply_bytes),
                   response.name);
    }
}

TEST(endless_platform_group, a_failure_without_end_ends_an_etcd_stream)
{
    const endless_response response{"a failure's body",
                                    "HTTP/1.1 500 X\r\n\r\n", "x",
                                    endless_effect::endless_body};
    const endless_server server(response, max_endless_bytes);
    adapters::etcd_settings settings;
    settings.endpoints = {server.address_text()};
    adapters::etcd_gateway_client client(settings);
    CHECK(!client.stream("/v3/watch", json::object(), std::chrono::seconds(2),
                         [](std::string_view /*bytes*/) { return true; }));
    CHECK(server.sent() <= max_sent_bytes(response, max_reply_bytes));
}

TEST(endless_platform_group, an_etcd_event_without_end_ends_its_watch)
{
    const std::string part(std::size_t{64} << 10, 'x');
    adapters::etcd_watch_reader reader(0, std::chrono::steady_clock::now() +
                                              std::chrono::seconds(60));
    std::size_t sent = part.size();
    while (reader.consume(part) && sent < max_endless_bytes)
    {
        sent += part.size();
    }
    CHECK(sent <= max_reply_bytes + part.size());
    CHECK(!reader.finish());
}
