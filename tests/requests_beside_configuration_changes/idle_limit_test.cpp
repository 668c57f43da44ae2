#include "tests/asio/loopback.hpp"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace turmeric;
using namespace turmeric::tests;

namespace
{

/// Leaves the responses to the test.
class holding_request_handler final : public ports::request_handler
{
public:
    std::shared_ptr<ports::exchange_in_flight>
    accept(ports::received_request request,
           std::shared_ptr<ports::caller_channel> channel) override
    {
        bodies.push_back(std::move(request.body));
        channels.push_back(std::move(channel));
        return nullptr;
    }

    std::vector<std::string> bodies;
    std::vector<std::shared_ptr<ports::caller_channel>> channels;
};

constexpr std::chrono::milliseconds short_limit{300};
constexpr std::chrono::milliseconds long_limit{60'000};
constexpr std::size_t few_bytes = 10;
constexpr std::size_t many_bytes = 1'000;

} // namespace

/// A caller whose connection is open as the limits change.
TEST_GROUP(idle_limit_group)
{
    asio::io_context loop;
    adapters::system_clock clock;
    holding_request_handler request_handler;
    std::string address = free_address(loop);
    adapters::caller_server server{loop, clock, request_handler, {address, 8}};
    tcp::socket caller{loop};
    /// The ends of connections, by whether a request had begun.
    std::map<bool, std::vector<ports::close_reason>> closes;

    void setup() override
    {
        server.set_close_handler(
            [this](ports::close_reason reason, bool is_in_request)
            { closes[is_in_request].push_back(reason); });
        CHECK(server.start().has_value());
    }

    void set_limits(std::chrono::milliseconds idle_timeout,
                    std::size_t body_bytes = many_bytes)
    {
        domain::caller_limits limits;
        limits.idle_timeout = idle_timeout;
        limits.body_bytes = body_bytes;
        server.set_limits(limits);
    }

    void connect()
    {
        const std::size_t colon = address.rfind(':');
        caller.connect(tcp::endpoint(
            asio::ip::address_v4::loopback(),
            static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))));
        caller.non_blocking(true);
        CHECK(
            run_until(loop, [this] { return server.open_connections() == 1; }));
    }

    /// Sends a request, and returns the channel for its response.
    ports::caller_channel& request(const std::string& body = "")
    {
        const std::size_t expected = request_handler.channels.size() + 1;
        boost::system::error_code ignored;
        asio::write(caller,
                    asio::buffer("POST /a HTTP/1.1\r\nContent-Length: " +
                                 std::to_string(body.size()) + "\r\n\r\n" +
                                 body),
                    ignored);
        CHECK(run_until(
            loop, [&] { return request_handler.channels.size() == expected; }));
        return *request_handler.channels.back();
    }

    void respond(ports::caller_channel & channel)
    {
        channel.send_response({200, "OK", {}}, "done");
        CHECK(wait_for_text("done"));
        wait_until_idle();
    }

    /// Lets the server see that its response is written.
    void wait_until_idle()
    {
        loop.restart();
        loop.poll();
    }

    bool wait_for_text(const std::string& text)
    {
        std::string received;
        return run_until(
            loop,
            [&]
            {
                std::array<char, 4'096> block{};
                boost::system::error_code ignored;
                received.append(block.data(),
                                caller.read_some(asio::buffer(block), ignored));
                return received.find(text) != std::string::npos;
            });
    }

    void run_past_short_limit()
    {
        loop.restart();
        loop.run_for(2 * short_limit);
    }
};

// Guards against a connection that closes under a limit shorter than the one
// that was announced, so that the next request gets no response.
TEST(idle_limit_group, a_limit_announced_before_a_shorter_one_is_kept)
{
    set_limits(long_limit);
    connect();
    ports::caller_channel& stream = request();
    stream.start_response({200, "OK", {}});
    CHECK(wait_for_text("Keep-Alive: timeout=60"));
    set_limits(short_limit);
    stream.finish_response();
    CHECK(wait_for_text("0\r\n\r\n"));
    run_past_short_limit();
    LONGS_EQUAL(1, server.open_connections());
    respond(request());
}

// Guards against a connection that closes under the earlier limit while the
// configuration in force lets its caller use it for longer.
TEST(idle_limit_group, a_longer_limit_holds_for_connections_that_wait)
{
    set_limits(short_limit);
    connect();
    respond(request());
    set_limits(long_limit);
    run_past_short_limit();
    LONGS_EQUAL(1, server.open_connections());
    respond(request());
}

TEST(idle_limit_group, a_shorter_limit_holds_once_it_was_announced)
{
    set_limits(long_limit);
    connect();
    respond(request());
    set_limits(short_limit);
    run_past_short_limit();
    LONGS_EQUAL(1, server.open_connections());
    respond(request());
    CHECK(run_until(loop, [this] { return server.open_connections() == 0; }));
    CHECK(closes[false] ==
          std::vector<ports::close_reason>{ports::close_reason::idle_timeout});
    CHECK(closes[true].empty());
}

TEST(idle_limit_group, the_end_of_a_connection_within_a_request_is_told)
{
    set_limits(long_limit);
    connect();
    request();
    caller.close();
    CHECK(run_until(loop, [this] { return server.open_connections() == 0; }));
    CHECK(closes[true] ==
          std::vector<ports::close_reason>{ports::close_reason::caller_closed});
}

// Guards against a sound close that looks like the loss of a request.
TEST(idle_limit_group, a_close_after_the_last_response_is_within_no_request)
{
    set_limits(long_limit);
    connect();
    ports::caller_channel& channel = request();
    server.disable_keep_alive();
    respond(channel);
    caller.close();
    CHECK(run_until(loop, [this] { return server.open_connections() == 0; }));
    CHECK(closes[true].empty());
    LONGS_EQUAL(1, closes[false].size());
}

// Guards against a request that the configuration in force allows and that is
// refused by the limits of an earlier one.
TEST(idle_limit_group, a_waiting_connection_takes_the_sizes_of_new_limits)
{
    set_limits(long_limit, few_bytes);
    connect();
    respond(request());
    set_limits(long_limit, many_bytes);
    const std::string body(many_bytes, 'b');
    respond(request(body));
    STRCMP_EQUAL(body.c_str(), request_handler.bodies.back().c_str());
}
