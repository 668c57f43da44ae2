#include "libraries/adapters/asio/http_serialization.hpp"
#include "libraries/adapters/asio/socket_options.hpp"
#include "tests/asio/loopback.hpp"

#include <CppUTest/TestHarness.h>

#include <memory>

using namespace turmeric;
using namespace turmeric::tests;

namespace
{

constexpr std::int64_t limit = 4 << 20;
constexpr std::size_t large_bytes = 2 << 20;

/// Holds the requests until the test responds, as slow upstreams do; refuses
/// those without their bodies.
class holding_handler final : public ports::request_handler
{
public:
    struct held_exchange final : public ports::exchange_in_flight
    {
        void on_caller_disconnected(ports::close_reason /*reason*/) override
        {
            is_disconnected = true;
        }

        bool is_disconnected = false;
    };

    std::shared_ptr<ports::exchange_in_flight>
    accept(ports::received_request request,
           std::shared_ptr<ports::caller_channel> channel) override
    {
        if (request.refusal != ports::body_refusal::none)
        {
            refusals.push_back(request.refusal);
            channel->send_response({503, "Service Unavailable", {}}, "full");
            return nullptr;
        }
        requests.push_back(std::move(request));
        channels.push_back(std::move(channel));
        exchanges.push_back(std::make_shared<held_exchange>());
        return exchanges.back();
    }

    /// Responds to a request and releases it.
    void respond(std::size_t index)
    {
        requests[index] = {};
        channels[index]->send_response({200, "OK", {}}, "done");
    }

    std::vector<ports::received_request> requests;
    std::vector<std::shared_ptr<ports::caller_channel>> channels;
    std::vector<std::shared_ptr<held_exchange>> exchanges;
    std::vector<ports::body_refusal> refusals;
};

/// A caller that sends without waiting, and records what it receives.
class sending_caller
{
public:
    sending_caller(asio::io_context& loop, const std::string& address)
        : m_socket(loop)
    {
        m_socket.connect(*adapters::parse_endpoint(address));
        read();
    }

    void send(std::string bytes)
    {
        m_sent = std::move(bytes);
        asio::async_write(m_socket, asio::buffer(m_sent),
                          [](const boost::system::error_code&, std::size_t) {});
    }

    void send_body(std::size_t bytes)
    {
        send("POST /a HTTP/1.1\r\nContent-Length: " + std::to_string(bytes) +
             "\r\n\r\n" + std::string(bytes, 'x'));
    }

    void send_chunks(std::size_t bytes)
    {
        send("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" +
             adapters::format_chunk(std::string(bytes, 'x')) +
             std::string(adapters::last_chunk));
    }

    void close()
    {
        m_socket.close();
    }

    bool has(const std::string& text) const
    {
        return received.find(text) != std::string::npos;
    }

    std::string received;

private:
    void read()
    {
        m_socket.async_read_some(
            asio::buffer(m_read_block),
            [this](const boost::system::error_code& error_code,
                   std::size_t bytes)
            {
                received.append(m_read_block.data(), bytes);
                if (!error_code)
                {
                    read();
                }
            });
    }

    tcp::socket m_socket;
    std::array<char, 4'096> m_read_block{};
    std::string m_sent;
};

} // namespace

TEST_GROUP(body_memory_group)
{
    memory_budget memory{limit};
    asio::io_context loop;
    adapters::system_clock clock;
    holding_handler handler;
    std::string address = free_address(loop);
    adapters::caller_server server{loop, clock, handler, {address, 8, &memory}};
    std::vector<std::unique_ptr<sending_caller>> callers;

    void setup() override
    {
        CHECK(server.start().has_value());
    }

    void teardown() override
    {
        for (const std::unique_ptr<sending_caller>& caller : callers)
        {
            caller->close();
        }
        CHECK(
            run_until(loop, [this] { return server.open_connections() == 0; }));
        handler.requests.clear();
        // Whatever the order of the ends, all bytes come back.
        CHECK(run_until(loop, [this] { return memory.used() == 0; }));
    }

    sending_caller& add_caller()
    {
        callers.push_back(std::make_unique<sending_caller>(loop, address));
        return *callers.back();
    }

    bool wait_for_requests(std::size_t count)
    {
        return run_until(loop, [this, count]
                         { return handler.requests.size() == count; });
    }
};

// Guards against bodies that take a router beyond its machine's memory while
// upstreams read slowly, so that the platform ends the process.
TEST(body_memory_group, bodies_of_slow_upstreams_stay_within_the_limit)
{
    add_caller().send_body(large_bytes);
    CHECK(wait_for_requests(1));
    for (int count = 0; count < 3; ++count)
    {
        add_caller().send_body(large_bytes);
    }
    CHECK(run_until(loop,
                    [this]
                    {
                        CHECK(memory.used() <= limit);
                        return handler.refusals.size() == 3;
                    }));
    LONGS_EQUAL(1, handler.requests.size());
    for (std::size_t index = 1; index < callers.size(); ++index)
    {
        CHECK(run_until(loop, [&] { return callers[index]->has("full"); }));
        CHECK_FALSE(callers[index]->has("408"));
        CHECK(callers[index]->has("Connection: close"));
    }
}

TEST(body_memory_group, small_requests_go_on_beside_bodies_that_wait)
{
    add_caller().send_body(large_bytes);
    CHECK(wait_for_requests(1));
    add_caller().send_body(large_bytes);
    add_caller().send_body(1'000);
    CHECK(wait_for_requests(2));
    LONGS_EQUAL(1'000, handler.requests[1].body.size());
}

TEST(body_memory_group, a_body_that_waited_is_read_once_there_is_room)
{
    add_caller().send_body(large_bytes);
    CHECK(wait_for_requests(1));
    // The wait is longer than the header timeout.
    domain::caller_limits limits;
    limits.header_timeout = std::chrono::milliseconds(50);
    server.set_limits(limits);
    sending_caller& waiting = add_caller();
    waiting.send_body(large_bytes);
    asio::steady_timer pause(loop, std::chrono::milliseconds(120));
    bool is_over = false;
    pause.async_wait([&](const boost::system::error_code&) { is_over = true; });
    CHECK(run_until(loop, [&] { return is_over; }));
    LONGS_EQUAL(1, handler.requests.size());
    server.set_limits({});
    handler.respond(0);
    CHECK(wait_for_requests(2));
    LONGS_EQUAL(large_bytes, handler.requests[1].body.size());
    handler.respond(1);
    CHECK(run_until(loop, [&] { return waiting.has("done"); }));
    CHECK(handler.refusals.empty());
}

TEST(body_memory_group, a_chunked_body_is_counted_as_it_grows)
{
    add_caller().send_chunks(large_bytes / 2);
    CHECK(wait_for_requests(1));
    LONGS_EQUAL(large_bytes / 2, handler.requests[0].body.size());
    CHECK(memory.used(memory_kind::requests) >=
          static_cast<std::int64_t>(large_bytes / 2));
    add_caller().send_chunks(large_bytes);
    CHECK(run_until(loop, [this] { return handler.refusals.size() == 1; }));
    LONGS_EQUAL(1, handler.requests.size());
}

TEST(body_memory_group, a_body_larger_than_all_memory_is_refused_at_once)
{
    add_caller().send_body(limit - 1);
    CHECK(run_until(loop, [this] { return handler.refusals.size() == 1; }));
    CHECK(handler.refusals[0] == ports::body_refusal::exceeds_memory);
}

TEST(body_memory_group, callers_that_leave_while_they_wait_make_room)
{
    add_caller().send_body(large_bytes);
    CHECK(wait_for_requests(1));
    add_caller().send_body(large_bytes);
    CHECK(run_until(loop, [this] { return server.open_connections() == 2; }));
    callers[1]->close();
    add_caller().send_body(large_bytes);
    CHECK(run_until(loop, [this] { return server.open_connections() == 3; }));
    handler.respond(0);
    CHECK(wait_for_requests(2));
    CHECK(handler.refusals.empty() || handler.refusals.size() == 1);
}
