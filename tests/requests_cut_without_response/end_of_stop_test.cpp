#include "services/entry/thread_link.hpp"
#include "tests/asio/loopback.hpp"
#include "tests/exchange/exchange_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::tests;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds stop_accepting_after =
    drivers::traffic_settings().stop_accepting_after;

/// Responds to each request with a body that no socket buffer holds.
class large_response_handler final : public ports::request_handler
{
public:
    std::shared_ptr<ports::exchange_in_flight>
    accept(ports::received_request /*request*/,
           std::shared_ptr<ports::caller_channel> channel) override
    {
        constexpr std::size_t body_bytes = 64 << 20;
        channel->send_response({200, "OK", {}}, std::string(body_bytes, 'x'));
        ++responses;
        return nullptr;
    }

    int responses = 0;
};

} // namespace

TEST_GROUP(end_of_stop_group)
{
    exchange_fixture fixture;
    asio::io_context control_loop;
    asio::io_context traffic_loop;
    adapters::system_clock clock;
    large_response_handler request_handler;
    std::string address = free_address(traffic_loop);
    adapters::caller_server server{
        traffic_loop, clock, request_handler, {address, 8}};
    entry::thread_link link{control_loop, traffic_loop, clock};

    void setup() override
    {
        link.connect(fixture.dispatcher, server);
    }

    /// Returns what the control thread learns of the traffic thread.
    drivers::traffic_digest request_digest()
    {
        std::optional<drivers::traffic_digest> received;
        link.request_digest([&](drivers::traffic_digest digest)
                            { received = std::move(digest); });
        CHECK(run_until(traffic_loop,
                        [&]
                        {
                            control_loop.restart();
                            control_loop.poll();
                            return received.has_value();
                        }));
        return *received;
    }
};

TEST(end_of_stop_group, requests_accepted_by_a_late_traffic_thread_are_not_cut)
{
    // The traffic thread is held up as the stop is requested, and runs it only
    // after the time at which it should refuse requests already.
    asio::post(traffic_loop, [this] { fixture.dispatcher.stop(); });
    fixture.timers.advance(stop_accepting_after + 10ms);
    CHECK_FALSE(drivers::is_drained(request_digest()));
    const auto response = fixture.send_request("read");
    LONGS_EQUAL(1, fixture.call_count());
    CHECK_FALSE(drivers::is_drained(request_digest()));
    fixture.call(0).success();
    fixture.call(0).end();
    LONGS_EQUAL(200, response->status);
    CHECK_FALSE(drivers::is_drained(request_digest()));
    fixture.timers.advance(stop_accepting_after);
    LONGS_EQUAL(503, fixture.send_request("read")->status);
    CHECK(drivers::is_drained(request_digest()));
}

TEST(end_of_stop_group, a_response_that_is_not_written_yet_is_not_cut)
{
    CHECK(server.start().has_value());
    tcp::socket caller(traffic_loop);
    const std::size_t colon = address.rfind(':');
    caller.connect(tcp::endpoint(
        asio::ip::address_v4::loopback(),
        static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))));
    asio::write(caller, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
    CHECK(run_until(traffic_loop,
                    [this] { return request_handler.responses == 1; }));
    fixture.dispatcher.stop();
    fixture.timers.advance(stop_accepting_after + 10ms);
    CHECK_FALSE(drivers::is_drained(request_digest()));
    std::vector<char> block(1 << 20);
    caller.non_blocking(true);
    CHECK(run_until(traffic_loop,
                    [&]
                    {
                        boost::system::error_code error_code;
                        caller.read_some(asio::buffer(block), error_code);
                        return server.unwritten_responses() == 0;
                    }));
    CHECK(drivers::is_drained(request_digest()));
}
