#include "libraries/adapters/nghttp2/nonblocking_sockets.hpp"
#include "libraries/adapters/nghttp2/peer_node.hpp"
#include "libraries/adapters/system/system_clock.hpp"

#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

#include <CppUTest/TestHarness.h>

using turmeric::error;
using turmeric::result;
using turmeric::result_code;
using turmeric::adapters::peer_node;
using turmeric::ports::peer_message;

namespace
{

constexpr std::chrono::seconds timeout{30};

result<std::string> echo(const peer_message& message)
{
    if (message.kind == "refuse")
    {
        return error{result_code::peer_protocol, "kind", "refused"};
    }
    return message.kind + ":" + message.body;
}

std::string loopback(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

TEST_GROUP(peer_node)
{
    turmeric::adapters::system_clock m_clock;
    peer_node m_server{m_clock, &echo};
    peer_node m_client{m_clock, &echo};
    std::string m_address;

    void setup() override
    {
        m_address = loopback(m_server.start("127.0.0.1", 0).value());
        CHECK_TRUE(m_client.start("127.0.0.1", 0).has_value());
    }

    void teardown() override
    {
        m_client.stop();
        m_server.stop();
    }
};

TEST(peer_node, returns_the_response_to_a_call)
{
    result<std::string> response =
        m_client.call(m_address, {"heartbeat", "hello"}, timeout);
    CHECK_TRUE(response.has_value());
    STRCMP_EQUAL("heartbeat:hello", response.value().c_str());
}

TEST(peer_node, transfers_a_body_larger_than_the_flow_control_window)
{
    std::string body(1'500'000, 'x');
    result<std::string> response =
        m_client.call(m_address, {"configuration", body}, timeout);
    CHECK_TRUE(response.has_value());
    LONGS_EQUAL(body.size() + 14, response.value().size());
}

TEST(peer_node, returns_to_each_calling_thread_its_own_response)
{
    std::vector<std::thread> threads;
    std::vector<std::string> responses(16);
    for (std::size_t i = 0; i < responses.size(); ++i)
    {
        threads.emplace_back(
            [this, i, &responses]
            {
                result<std::string> response =
                    m_client.call(m_address, {"k", std::to_string(i)}, timeout);
                responses[i] = response ? response.value() : "failed";
            });
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    for (std::size_t i = 0; i < responses.size(); ++i)
    {
        STRCMP_EQUAL(("k:" + std::to_string(i)).c_str(), responses[i].c_str());
    }
}

TEST(peer_node, reports_a_handler_error_as_protocol_error)
{
    result<std::string> response =
        m_client.call(m_address, {"refuse", ""}, timeout);
    CHECK_FALSE(response.has_value());
    CHECK(response.failure().code == result_code::peer_protocol);
}

TEST(peer_node, reports_a_stopped_peer_as_unavailable)
{
    m_server.stop();
    result<std::string> response = m_client.call(m_address, {"k", ""}, timeout);
    CHECK_FALSE(response.has_value());
    CHECK(response.failure().code == result_code::peer_unavailable);
}

TEST(peer_node, ends_a_call_to_an_unresponsive_peer_at_its_deadline)
{
    // The kernel completes the connection, but no thread accepts it or reads
    // from it.
    result<turmeric::adapters::listening_socket> unresponsive =
        turmeric::adapters::open_listener("127.0.0.1", 0);
    result<std::string> response =
        m_client.call(loopback(unresponsive.value().port), {"k", ""},
                      std::chrono::milliseconds(300));
    CHECK_FALSE(response.has_value());
    CHECK(response.failure().code == result_code::peer_unavailable);
    ::close(unresponsive.value().socket);
}
