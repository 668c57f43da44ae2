#include "libraries/adapters/nghttp2/peer_node.hpp"
#include "libraries/adapters/nghttp2/socket_tools.hpp"
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

constexpr std::chrono::seconds patience{30};

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

TEST(peer_node, answers_a_call)
{
    result<std::string> answer =
        m_client.call(m_address, {"heartbeat", "hello"}, patience);
    CHECK_TRUE(answer.has_value());
    STRCMP_EQUAL("heartbeat:hello", answer.value().c_str());
}

TEST(peer_node, carries_a_body_larger_than_the_flow_control_window)
{
    std::string body(1'500'000, 'x');
    result<std::string> answer =
        m_client.call(m_address, {"configuration", body}, patience);
    CHECK_TRUE(answer.has_value());
    LONGS_EQUAL(body.size() + 14, answer.value().size());
}

TEST(peer_node, gives_each_of_many_threads_its_own_answer)
{
    std::vector<std::thread> threads;
    std::vector<std::string> answers(16);
    for (std::size_t i = 0; i < answers.size(); ++i)
    {
        threads.emplace_back(
            [this, i, &answers]
            {
                result<std::string> answer = m_client.call(
                    m_address, {"k", std::to_string(i)}, patience);
                answers[i] = answer ? answer.value() : "failed";
            });
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    for (std::size_t i = 0; i < answers.size(); ++i)
    {
        STRCMP_EQUAL(("k:" + std::to_string(i)).c_str(), answers[i].c_str());
    }
}

TEST(peer_node, reports_a_refusal_as_such)
{
    result<std::string> answer =
        m_client.call(m_address, {"refuse", ""}, patience);
    CHECK_FALSE(answer.has_value());
    CHECK(answer.failure().code == result_code::peer_protocol);
}

TEST(peer_node, reports_a_peer_that_is_not_there)
{
    m_server.stop();
    result<std::string> answer = m_client.call(m_address, {"k", ""}, patience);
    CHECK_FALSE(answer.has_value());
    CHECK(answer.failure().code == result_code::peer_unavailable);
}

TEST(peer_node, gives_up_on_a_silent_peer_at_the_deadline)
{
    // The kernel completes the connection, and nobody ever reads from it.
    result<turmeric::adapters::listening_socket> silent =
        turmeric::adapters::open_listener("127.0.0.1", 0);
    result<std::string> answer =
        m_client.call(loopback(silent.value().port), {"k", ""},
                      std::chrono::milliseconds(300));
    CHECK_FALSE(answer.has_value());
    CHECK(answer.failure().code == result_code::peer_unavailable);
    ::close(silent.value().socket);
}
