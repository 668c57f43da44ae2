#include "libraries/adapters/asio/asio.hpp"
#include "libraries/adapters/etcd/etcd_gateway_client.hpp"
#include "libraries/adapters/vm_list/http_vm_list.hpp"

#include <array>
#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using adapters::tcp;

namespace
{

namespace asio = adapters::asio;

/// Sends one response to the first request of one connection, on a thread of
/// its own.
class responding_server
{
public:
    explicit responding_server(std::string response)
        : m_response(std::move(response))
        , m_acceptor(m_loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_thread([this] { serve(); })
    {
    }

    ~responding_server()
    {
        m_thread.join();
    }

    responding_server(const responding_server&) = delete;
    responding_server& operator=(const responding_server&) = delete;

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" +
               std::to_string(m_acceptor.local_endpoint().port());
    }

private:
    void serve()
    {
        boost::system::error_code ignored;
        tcp::socket peer = m_acceptor.accept(ignored);
        std::array<char, 4'096> request{};
        peer.read_some(asio::buffer(request), ignored);
        asio::write(peer, asio::buffer(m_response), ignored);
    }

    std::string m_response;
    asio::io_context m_loop;
    tcp::acceptor m_acceptor;
    std::thread m_thread;
};

std::string make_response(const std::string& status, const std::string& line,
                          const std::string& body)
{
    return "HTTP/1.1 " + status + " S\r\n" + line +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

TEST_GROUP(broken_head_group){
    static bool reads_vm_list(const std::string& status,
                              const std::string& line){
        const responding_server server(make_response(status, line, "[]"));
adapters::http_vm_list list({server.address()});
return list.read().has_value();
}

static result<json> write_to_store(const std::string& status,
                                   const std::string& line)
{
    const responding_server server(make_response(status, line, "{}"));
    adapters::etcd_settings settings;
    settings.endpoints = {server.address()};
    adapters::etcd_gateway_client client(settings);
    return client.call(adapters::etcd_call_kind::write, "/v3/kv/txn",
                       json::object());
}
}
;

TEST(broken_head_group, the_vm_list_is_read_from_valid_responses_only)
{
    CHECK_TRUE(reads_vm_list("200", "X-!#$%&'*+.^_`|~: v\r\n"));
    CHECK_FALSE(reads_vm_list("000", ""));
    CHECK_FALSE(reads_vm_list("200", "Na me: v\r\n"));
    CHECK_FALSE(reads_vm_list("200", "Na\x01me: v\r\n"));
}

TEST(broken_head_group, a_broken_response_to_a_write_leaves_its_outcome_unknown)
{
    CHECK_TRUE(write_to_store("200", "").has_value());
    for (const result<json>& broken :
         {write_to_store("000", ""), write_to_store("200", "Na me: v\r\n")})
    {
        CHECK_FALSE(broken.has_value());
        CHECK(broken.failure().effect == outcome::outcome_unknown);
    }
}
