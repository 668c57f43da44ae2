#include "tests/asio/loopback.hpp"

#include <CppUTest/TestHarness.h>
#include <array>
#include <thread>

using namespace turmeric;
using namespace turmeric::tests;
using namespace std::chrono_literals;
using ports::response_defect;

namespace
{

/// More than the buffers of both ends of a connection hold.
constexpr std::size_t upload_bytes = 12 << 20;
constexpr int small_buffer_bytes = 4'096;
/// The order in which a write and a read meet a reset varies.
constexpr int repetitions = 40;

} // namespace

/// An upstream that answers an upload of which it reads the beginning only.
TEST_GROUP(reset_response_group)
{
    asio::io_context loop;
    adapters::system_clock clock;
    adapters::upstream_connection_pool pool{loop, clock};
    tcp::acceptor acceptor{loop};
    std::shared_ptr<recording_listener> listener;
    std::weak_ptr<const ports::request_body> body;

    void setup() override
    {
        const tcp::endpoint any(asio::ip::address_v4::loopback(), 0);
        acceptor.open(any.protocol());
        acceptor.set_option(
            asio::socket_base::receive_buffer_size(small_buffer_bytes));
        acceptor.bind(any);
        acceptor.listen();
    }

    /// Starts an upload, reads its beginning and sends `response`.
    tcp::socket answer_upload(const std::string& response)
    {
        ports::outgoing_call call;
        call.address =
            "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        call.bytes = "POST / HTTP/1.1\r\n\r\n";
        call.body =
            std::make_shared<const ports::request_body>(ports::request_body{
                std::string(upload_bytes, 'u'), memory_reservation()});
        body = call.body;
        call.connect_timeout = 5s;
        listener = std::make_shared<recording_listener>();
        listener->call = pool.start(std::move(call), listener);
        tcp::socket upstream = acceptor.accept();
        CHECK(run_until(loop, [&] { return upstream.available() > 0; }));
        std::array<char, 512> beginning{};
        upstream.read_some(asio::buffer(beginning));
        // The call releases the body once the kernel has all of it.
        CHECK_FALSE(body.expired());
        asio::write(upstream, asio::buffer(response));
        return upstream;
    }

    void expect_end()
    {
        CHECK(run_until(loop, [&] { return listener->is_finished; }));
    }

    void release()
    {
        listener->call.reset();
        listener.reset();
    }

    static void reset(tcp::socket & upstream)
    {
        upstream.set_option(asio::socket_base::linger(true, 0));
        upstream.close();
    }
};

TEST(reset_response_group, a_body_without_a_length_that_is_reset_is_broken)
{
    for (int round = 0; round < repetitions; ++round)
    {
        tcp::socket upstream = answer_upload("HTTP/1.1 200 OK\r\n\r\npart");
        // In every second round, the part has been read before the reset.
        if (round % 2 == 0)
        {
            CHECK(run_until(loop, [&] { return listener->body == "part"; }));
        }
        reset(upstream);
        expect_end();
        CHECK(listener->failure == ports::transport_failure::broken);
        CHECK(listener->call->defect() == response_defect::reset);
        release();
    }
}

TEST(reset_response_group, an_end_that_is_sent_before_a_reset_is_an_end)
{
    for (int round = 0; round < repetitions; ++round)
    {
        tcp::socket upstream =
            answer_upload("HTTP/1.1 413 Too Large\r\n\r\nwhole");
        if (round % 2 == 0)
        {
            CHECK(run_until(loop, [&] { return listener->body == "whole"; }));
        }
        upstream.shutdown(tcp::socket::shutdown_send);
        reset(upstream);
        expect_end();
        CHECK(listener->is_complete);
        STRCMP_EQUAL("whole", listener->body.c_str());
        release();
    }
}

TEST(reset_response_group, a_body_with_a_length_is_complete_before_a_reset)
{
    for (int round = 0; round < repetitions; ++round)
    {
        tcp::socket upstream = answer_upload(
            "HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nwhole");
        reset(upstream);
        expect_end();
        CHECK(listener->is_complete);
        STRCMP_EQUAL("whole", listener->body.c_str());
        release();
    }
}

TEST(reset_response_group, a_body_of_an_upstream_that_takes_no_bytes_is_broken)
{
    // The kernel gives the connection up, and the pending write gets the
    // report of it.
    const tcp::socket upstream = answer_upload("HTTP/1.1 200 OK\r\n\r\npart");
    expect_end();
    CHECK(listener->failure == ports::transport_failure::unresponsive);
    CHECK(listener->call->defect() == response_defect::unacknowledged);
    release();
}
