#include "tests/asio/loopback.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::tests;

namespace
{

/// Keeps each request until the test answers it.
class keeping_acceptor final : public ports::request_handler
{
public:
    struct kept final : public ports::exchange_in_flight
    {
        void on_caller_disconnected() override
        {
            has_left = true;
        }

        bool has_left = false;
    };

    std::shared_ptr<ports::exchange_in_flight>
    accept(ports::received_request request,
           std::shared_ptr<ports::caller_channel> channel) override
    {
        requests.push_back(std::move(request));
        channels.push_back(std::move(channel));
        exchanges.push_back(std::make_shared<kept>());
        if (is_answering)
        {
            channels.back()->send_response({200, "OK", {}},
                                           requests.back().body);
            return nullptr;
        }
        return exchanges.back();
    }

    bool is_answering = true;
    std::vector<ports::received_request> requests;
    std::vector<std::shared_ptr<ports::caller_channel>> channels;
    std::vector<std::shared_ptr<kept>> exchanges;
};

} // namespace

TEST_GROUP(caller_server_group)
{
    asio::io_context loop;
    adapters::system_clock clock;
    keeping_acceptor acceptor;
    std::string address = free_address(loop);
    adapters::caller_server server{loop, clock, acceptor, {address, 8}};
    tcp::socket caller{loop};
    std::array<char, 4'096> block{};
    std::string got;
    bool is_closed = false;
    bool is_reset = false;

    void setup() override
    {
        CHECK(server.start().has_value());
        setup_again();
    }

    void setup_again()
    {
        got.clear();
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
            asio::buffer(block),
            [this](const boost::system::error_code& fault, std::size_t bytes)
            {
                got.append(block.data(), bytes);
                is_closed = static_cast<bool>(fault);
                is_reset = fault == asio::error::connection_reset;
                if (!fault)
                {
                    read();
                }
            });
    }

    void send(const std::string& bytes)
    {
        asio::write(caller, asio::buffer(bytes));
    }

    bool gets(const std::string& text)
    {
        return run_until(loop,
                         [&] { return got.find(text) != std::string::npos; });
    }

    bool closes()
    {
        return run_until(loop, [this] { return is_closed; });
    }
};

TEST(caller_server_group, bodies_come_by_length_and_in_chunks)
{
    send("POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
    CHECK(gets("\r\n\r\nabc"));
    send("POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
         "2\r\nde\r\n1\r\nf\r\n0\r\n\r\n");
    CHECK(gets("\r\n\r\ndef"));
    LONGS_EQUAL(1, server.connections());
}

TEST(caller_server_group, requests_that_come_together_are_answered_in_turn)
{
    send("POST /a HTTP/1.1\r\nContent-Length: 1\r\n\r\n1"
         "POST /b HTTP/1.1\r\nContent-Length: 1\r\n\r\n2");
    CHECK(gets("\r\n\r\n1HTTP/1.1 200 OK"));
    CHECK(gets("\r\n\r\n2"));
}

TEST(caller_server_group, two_ways_to_tell_a_bodys_end_are_refused)
{
    send("POST /a HTTP/1.1\r\nContent-Length: 4\r\n"
         "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    CHECK(gets("HTTP/1.1 400"));
    CHECK(closes());
    LONGS_EQUAL(0, acceptor.requests.size());
}

TEST(caller_server_group, a_coding_that_is_not_known_is_refused)
{
    send("POST /a HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n"
         "GET /hidden HTTP/1.1\r\n\r\n");
    CHECK(gets("HTTP/1.1 400"));
    CHECK(closes());
    LONGS_EQUAL(0, acceptor.requests.size());
}

TEST(caller_server_group, limits_have_answers_of_their_own)
{
    domain::caller_limits limits;
    limits.header_bytes = 256;
    limits.body_bytes = 10;
    server.set_limits(limits);
    // The limits in force count from the next connection's first request.
    caller.close();
    caller = tcp::socket(loop);
    setup_again();
    send("POST /a HTTP/1.1\r\nContent-Length: 11\r\n\r\n");
    CHECK(gets("HTTP/1.1 413"));
    caller.close();
    caller = tcp::socket(loop);
    setup_again();
    send("GET /a HTTP/1.1\r\nX-Long: " + std::string(400, 'x') + "\r\n\r\n");
    CHECK(gets("HTTP/1.1 431"));
}

TEST(caller_server_group, a_callers_close_is_noticed_while_it_waits)
{
    acceptor.is_answering = false;
    send("GET /a HTTP/1.1\r\n\r\n");
    CHECK(run_until(loop, [this] { return !acceptor.exchanges.empty(); }));
    CHECK_FALSE(acceptor.exchanges.front()->has_left);
    caller.close();
    CHECK(run_until(loop,
                    [this] { return acceptor.exchanges.front()->has_left; }));
}

TEST(caller_server_group, a_streamed_answer_ends_with_its_last_chunk)
{
    acceptor.is_answering = false;
    send("GET /a HTTP/1.1\r\n\r\n");
    CHECK(run_until(loop, [this] { return !acceptor.channels.empty(); }));
    ports::caller_channel& channel = *acceptor.channels.front();
    channel.start_response({200, "OK", {}});
    bool is_written = false;
    channel.send_part("part", [&is_written] { is_written = true; });
    CHECK(run_until(loop, [&is_written] { return is_written; }));
    channel.finish_response();
    CHECK(gets("4\r\npart\r\n0\r\n\r\n"));
    acceptor.is_answering = true;
    send("GET /b HTTP/1.1\r\n\r\n");
    CHECK(gets("0\r\n\r\nHTTP/1.1 200 OK"));
}

TEST(caller_server_group, an_answer_that_is_broken_off_has_no_last_chunk)
{
    acceptor.is_answering = false;
    send("GET /a HTTP/1.1\r\n\r\n");
    CHECK(run_until(loop, [this] { return !acceptor.channels.empty(); }));
    ports::caller_channel& channel = *acceptor.channels.front();
    channel.start_response({200, "OK", {}});
    channel.send_part("part", [] {});
    CHECK(gets("part"));
    channel.abort_response();
    CHECK(closes());
    CHECK(got.find("0\r\n\r\n") == std::string::npos);
}

TEST(caller_server_group, a_stopping_server_asks_callers_to_go)
{
    server.stop_keeping();
    send("GET /a HTTP/1.1\r\n\r\n");
    CHECK(gets("Connection: close"));
    CHECK(closes());
}

TEST(caller_server_group, old_callers_get_their_connection_closed)
{
    send("GET /a HTTP/1.0\r\n\r\n");
    CHECK(gets("Connection: close"));
    CHECK(closes());
}
