#include "tests/asio/loopback.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::tests;

namespace
{

/// Records each request and echoes its body, or leaves the response to the test
/// if `is_responding_at_once` is false.
class recording_request_handler final : public ports::request_handler
{
public:
    struct recorded_exchange final : public ports::exchange_in_flight
    {
        void on_caller_disconnected(ports::close_reason reason) override
        {
            close_reason = reason;
        }

        std::optional<ports::close_reason> close_reason;
    };

    std::shared_ptr<ports::exchange_in_flight>
    accept(ports::received_request request,
           std::shared_ptr<ports::caller_channel> channel) override
    {
        requests.push_back(std::move(request));
        channels.push_back(std::move(channel));
        exchanges.push_back(std::make_shared<recorded_exchange>());
        if (is_responding_at_once)
        {
            channels.back()->send_response({200, "OK", {}},
                                           requests.back().body);
            return nullptr;
        }
        return exchanges.back();
    }

    bool is_responding_at_once = true;
    std::vector<ports::received_request> requests;
    std::vector<std::shared_ptr<ports::caller_channel>> channels;
    std::vector<std::shared_ptr<recorded_exchange>> exchanges;
};

} // namespace

TEST_GROUP(caller_server_group)
{
    asio::io_context loop;
    adapters::system_clock clock;
    recording_request_handler request_handler;
    std::string address = free_address(loop);
    adapters::caller_server server{loop, clock, request_handler, {address, 8}};
    tcp::socket caller{loop};
    std::array<char, 4'096> read_block{};
    std::string received;
    bool is_closed = false;
    bool is_reset = false;

    void setup() override
    {
        CHECK(server.start().has_value());
        connect_caller();
    }

    void connect_caller()
    {
        received.clear();
        is_closed = false;
        const std::size_t colon = address.rfind(':');
        caller.connect(tcp::endpoint(
            asio::ip::address_v4::loopback(),
            static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))));
        read();
    }

    void read()
    {
        caller.async_read_some(
            asio::buffer(read_block),
            [this](const boost::system::error_code& error_code,
                   std::size_t bytes)
            {
                received.append(read_block.data(), bytes);
                is_closed = static_cast<bool>(error_code);
                is_reset = error_code == asio::error::connection_reset;
                if (!error_code)
                {
                    read();
                }
            });
    }

    void send(const std::string& bytes)
    {
        asio::write(caller, asio::buffer(bytes));
    }

    bool wait_for_text(const std::string& text)
    {
        return run_until(loop, [&]
                         { return received.find(text) != std::string::npos; });
    }

    bool wait_for_close()
    {
        return run_until(loop, [this] { return is_closed; });
    }
};

TEST(caller_server_group, reads_bodies_with_content_length_and_chunked_bodies)
{
    send("POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
    CHECK(wait_for_text("\r\n\r\nabc"));
    send("POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
         "2\r\nde\r\n1\r\nf\r\n0\r\n\r\n");
    CHECK(wait_for_text("\r\n\r\ndef"));
    LONGS_EQUAL(1, server.open_connections());
}

TEST(caller_server_group, answers_pipelined_requests_in_order)
{
    send("POST /a HTTP/1.1\r\nContent-Length: 1\r\n\r\n1"
         "POST /b HTTP/1.1\r\nContent-Length: 1\r\n\r\n2");
    CHECK(wait_for_text("\r\n\r\n1HTTP/1.1 200 OK"));
    CHECK(wait_for_text("\r\n\r\n2"));
}

TEST(caller_server_group, refuses_content_length_together_with_chunked_coding)
{
    send("POST /a HTTP/1.1\r\nContent-Length: 4\r\n"
         "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    CHECK(wait_for_text("HTTP/1.1 400"));
    CHECK(wait_for_close());
    LONGS_EQUAL(0, request_handler.requests.size());
}

TEST(caller_server_group, refuses_an_unknown_transfer_coding)
{
    send("POST /a HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n"
         "GET /hidden HTTP/1.1\r\n\r\n");
    CHECK(wait_for_text("HTTP/1.1 400"));
    CHECK(wait_for_close());
    LONGS_EQUAL(0, request_handler.requests.size());
}

TEST(caller_server_group, responds_with_the_status_of_the_exceeded_limit)
{
    domain::caller_limits limits;
    limits.header_bytes = 256;
    limits.body_bytes = 10;
    server.set_limits(limits);
    caller.close();
    caller = tcp::socket(loop);
    connect_caller();
    send("POST /a HTTP/1.1\r\nContent-Length: 11\r\n\r\n");
    CHECK(wait_for_text("HTTP/1.1 413"));
    caller.close();
    caller = tcp::socket(loop);
    connect_caller();
    send("GET /a HTTP/1.1\r\nX-Long: " + std::string(400, 'x') + "\r\n\r\n");
    CHECK(wait_for_text("HTTP/1.1 431"));
}

TEST(caller_server_group,
     reports_a_caller_that_closes_while_its_request_is_handled)
{
    request_handler.is_responding_at_once = false;
    send("GET /a HTTP/1.1\r\n\r\n");
    CHECK(
        run_until(loop, [this] { return !request_handler.exchanges.empty(); }));
    const auto exchange = request_handler.exchanges.front();
    CHECK_FALSE(exchange->close_reason.has_value());
    caller.close();
    CHECK(run_until(loop, [&] { return exchange->close_reason.has_value(); }));
    CHECK(exchange->close_reason == ports::close_reason::caller_closed);
}

TEST(caller_server_group, a_request_whose_caller_has_left_is_not_handled)
{
    for (const bool is_reset : {false, true})
    {
        // A process that was held up finds the request and the end at once.
        send("POST /a HTTP/1.1\r\nContent-Length: 1\r\n\r\na");
        caller.set_option(asio::socket_base::linger(is_reset, 0));
        caller.close();
        CHECK(
            run_until(loop, [this] { return server.open_connections() == 1; }));
        CHECK(
            run_until(loop, [this] { return server.open_connections() == 0; }));
        CHECK(request_handler.requests.empty());
        caller = tcp::socket(loop);
        connect_caller();
    }
    send("GET /b HTTP/1.1\r\n\r\n");
    CHECK(wait_for_text("HTTP/1.1 200"));
    LONGS_EQUAL(1, request_handler.requests.size());
}

TEST(caller_server_group, pipelined_requests_are_no_sign_that_a_caller_left)
{
    send("GET /a HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\n"
         "Content-Length: 1\r\n\r\nx");
    CHECK(wait_for_text("\r\n\r\nx"));
    LONGS_EQUAL(2, request_handler.requests.size());
}

TEST(caller_server_group, reports_a_reset_by_the_caller)
{
    request_handler.is_responding_at_once = false;
    send("GET /a HTTP/1.1\r\n\r\n");
    CHECK(
        run_until(loop, [this] { return !request_handler.exchanges.empty(); }));
    const auto exchange = request_handler.exchanges.front();
    caller.set_option(asio::socket_base::linger(true, 0));
    caller.close();
    CHECK(run_until(loop, [&] { return exchange->close_reason.has_value(); }));
    CHECK(exchange->close_reason == ports::close_reason::caller_reset);
}

TEST(caller_server_group, ends_a_streamed_response_with_the_last_chunk)
{
    request_handler.is_responding_at_once = false;
    send("GET /a HTTP/1.1\r\n\r\n");
    CHECK(
        run_until(loop, [this] { return !request_handler.channels.empty(); }));
    ports::caller_channel& channel = *request_handler.channels.front();
    channel.start_response({200, "OK", {}});
    bool is_written = false;
    channel.send_part("part", [&is_written] { is_written = true; });
    CHECK(run_until(loop, [&is_written] { return is_written; }));
    channel.finish_response();
    CHECK(wait_for_text("4\r\npart\r\n0\r\n\r\n"));
    request_handler.is_responding_at_once = true;
    send("GET /b HTTP/1.1\r\n\r\n");
    CHECK(wait_for_text("0\r\n\r\nHTTP/1.1 200 OK"));
}

TEST(caller_server_group, sends_no_last_chunk_for_an_aborted_response)
{
    request_handler.is_responding_at_once = false;
    send("GET /a HTTP/1.1\r\n\r\n");
    CHECK(
        run_until(loop, [this] { return !request_handler.channels.empty(); }));
    ports::caller_channel& channel = *request_handler.channels.front();
    channel.start_response({200, "OK", {}});
    channel.send_part("part", [] {});
    CHECK(wait_for_text("part"));
    channel.abort_response();
    CHECK(wait_for_close());
    CHECK(received.find("0\r\n\r\n") == std::string::npos);
}

TEST(caller_server_group, closes_connections_after_keep_alive_is_disabled)
{
    server.disable_keep_alive();
    send("GET /a HTTP/1.1\r\n\r\n");
    CHECK(wait_for_text("Connection: close"));
    CHECK(wait_for_close());
}

TEST(caller_server_group, closes_connections_while_it_does_not_keep_them)
{
    server.set_keeping(false);
    server.set_keeping(true);
    send("GET /a HTTP/1.1\r\n\r\n");
    CHECK(wait_for_text("Keep-Alive: "));
    received.clear();
    server.set_keeping(false);
    send("GET /a HTTP/1.1\r\n\r\n");
    CHECK(wait_for_text("Connection: close"));
    CHECK(wait_for_close());
}

TEST(caller_server_group, closes_the_connection_of_an_http_1_0_caller)
{
    send("GET /a HTTP/1.0\r\n\r\n");
    CHECK(wait_for_text("Connection: close"));
    CHECK(wait_for_close());
}
