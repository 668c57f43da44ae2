#include "tests/asio/loopback.hpp"

#include <CppUTest/TestHarness.h>
#include <limits>

using namespace turmeric;
using namespace turmeric::tests;
using namespace std::chrono_literals;

namespace
{

/// More bytes than the limits of a request, a socket's buffers included.
constexpr std::size_t max_endless_bytes = 16 << 20;
/// After these the caller gives up, so that a failing test takes no memory
/// without end itself.
constexpr std::size_t given_up_bytes = 4 * max_endless_bytes;
constexpr std::size_t endless_block_bytes = 4'096;

/// Responds to each request at once, or never.
class plain_request_handler final : public ports::request_handler
{
public:
    struct idle_exchange final : public ports::exchange_in_flight
    {
        void on_caller_disconnected(ports::close_reason /*reason*/) override {}
    };

    std::shared_ptr<ports::exchange_in_flight>
    accept(ports::received_request request,
           std::shared_ptr<ports::caller_channel> channel) override
    {
        ++requests;
        if (request.head.target == "/never")
        {
            channels.push_back(std::move(channel));
            return std::make_shared<idle_exchange>();
        }
        channel->send_response({200, "OK", {}}, "fine");
        return nullptr;
    }

    int requests = 0;
    std::vector<std::shared_ptr<ports::caller_channel>> channels;
};

/// Sends bytes without end until its connection is closed.
class endless_caller
{
public:
    endless_caller(asio::io_context& loop, const std::string& address,
                   const std::string& beginning, const std::string& repeated)
        : m_socket(loop)
    {
        while (m_block.size() < endless_block_bytes)
        {
            m_block += repeated;
        }
        const std::size_t colon = address.rfind(':');
        m_socket.connect(tcp::endpoint(
            asio::ip::address_v4::loopback(),
            static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))));
        asio::write(m_socket, asio::buffer(beginning));
        send();
        read();
    }

    [[nodiscard]] bool is_finished() const
    {
        return is_closed || sent >= given_up_bytes;
    }

    void close()
    {
        m_socket.close();
    }

    std::size_t sent = 0;
    /// Of the first response.
    std::size_t sent_before_response = 0;
    std::string received;
    bool is_closed = false;

private:
    void send()
    {
        asio::async_write(m_socket, asio::buffer(m_block),
                          [this](const boost::system::error_code& error_code,
                                 std::size_t bytes)
                          {
                              sent += bytes;
                              is_closed = is_closed || error_code;
                              if (!is_finished())
                              {
                                  send();
                              }
                          });
    }

    void read()
    {
        m_socket.async_read_some(
            asio::buffer(m_read_block),
            [this](const boost::system::error_code& error_code,
                   std::size_t bytes)
            {
                if (received.empty())
                {
                    sent_before_response = sent;
                }
                received.append(m_read_block.data(), bytes);
                if (!error_code)
                {
                    read();
                }
            });
    }

    tcp::socket m_socket;
    std::string m_block;
    std::array<char, 4'096> m_read_block{};
};

/// A request whose bytes never end, and the status of the refusal.
struct endless_request
{
    const char* name;
    std::string beginning;
    /// What follows again and again.
    std::string repeated;
    const char* status;
};

std::vector<endless_request> make_endless_requests()
{
    const std::string bytes(endless_block_bytes, 'x');
    const std::string head = "POST / HTTP/1.1\r\n";
    const std::string length = "Content-Length: 1000000000000000000\r\n\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    const std::string chunk = "2\r\nab\r\n";
    const char* const bad_request = " 400 ";
    const char* const too_large = " 413 ";
    const char* const fields_too_large = " 431 ";
    return {
        {"no HTTP", "", bytes, fields_too_large},
        {"a request line", "POST /", bytes, fields_too_large},
        {"a header line", head + "X-Filler: ", bytes, fields_too_large},
        {"header lines", head, "X-Filler: x\r\n", fields_too_large},
        {"a body of a huge length", head + length, bytes, too_large},
        {"chunks", head + chunked, chunk, too_large},
        {"a chunk of a huge size", head + chunked + "FFFFFFFFFFFFFFF\r\n",
         bytes, too_large},
        {"a chunk size", head + chunked + chunk, "0000", bad_request},
        {"a chunk extension", head + chunked + chunk + "2;", bytes,
         bad_request},
        {"trailers", head + chunked + chunk + "0\r\n", "X-Filler: x\r\n",
         bad_request},
        {"bytes after a request", "GET / HTTP/1.1\r\n\r\n", bytes,
         fields_too_large},
    };
}

} // namespace

TEST_GROUP(endless_request_group)
{
    asio::io_context loop;
    adapters::system_clock clock;
    plain_request_handler request_handler;
    std::string address = free_address(loop);
    adapters::caller_server server{loop, clock, request_handler, {address, 64}};
    std::vector<std::unique_ptr<endless_caller>> callers;

    void setup() override
    {
        CHECK(server.start().has_value());
    }

    endless_caller& start_caller(const std::string& beginning,
                                 const std::string& repeated)
    {
        return *callers.emplace_back(std::make_unique<endless_caller>(
            loop, address, beginning, repeated));
    }

    /// Checks that another caller gets its response in the meantime.
    void expect_sound_response()
    {
        const ports::steady_time sent_at = clock.steady_now();
        const int handled = request_handler.requests;
        endless_caller caller(loop, address, "GET / HTTP/1.1\r\n\r\n", "\r\n");
        CHECK(run_until(loop, [&] { return !caller.received.empty(); }));
        LONGS_EQUAL(handled + 1, request_handler.requests);
        CHECK(clock.steady_now() - sent_at < 1s);
        caller.close();
        CHECK(run_until(loop, [&] { return caller.is_closed; }));
        loop.restart();
        loop.poll();
    }
};

TEST(endless_request_group, a_request_without_end_is_refused_and_closed)
{
    // Longer than the test, so that only the amount can end a request.
    domain::caller_limits limits;
    limits.header_timeout = 60s;
    server.set_limits(limits);
    for (const endless_request& request : make_endless_requests())
    {
        const endless_caller& caller =
            start_caller(request.beginning, request.repeated);
        CHECK_TEXT(run_until(loop, [&] { return caller.is_finished(); }),
                   request.name);
        CHECK_TEXT(caller.received.find(request.status) != std::string::npos,
                   request.name);
        CHECK_TEXT(caller.sent_before_response < max_endless_bytes,
                   request.name);
    }
    expect_sound_response();
}

// Guards against a caller that ends the process by the length that it
// announces.
TEST(endless_request_group, a_body_of_a_huge_length_takes_no_memory)
{
    domain::caller_limits limits;
    limits.body_bytes = std::numeric_limits<std::size_t>::max();
    server.set_limits(limits);
    endless_caller& caller =
        start_caller("POST / HTTP/1.1\r\n"
                     "Content-Length: 1000000000000000000\r\n\r\n",
                     std::string(endless_block_bytes, 'x'));
    CHECK(run_until(loop,
                    [&] { return caller.sent >= 16 * endless_block_bytes; }));
    CHECK_FALSE(caller.is_closed);
    caller.close();
    CHECK(run_until(loop, [&] { return caller.is_closed; }));
    CHECK(run_until(loop, [&] { return server.open_connections() == 0; }));
    expect_sound_response();
}

TEST(endless_request_group, bytes_after_an_unanswered_request_have_to_wait)
{
    endless_caller& caller = start_caller(
        "GET /never HTTP/1.1\r\n\r\n", std::string(endless_block_bytes, 'x'));
    CHECK(run_until(loop, [&] { return request_handler.requests == 1; }));
    std::size_t sent = 0;
    CHECK(run_until(loop,
                    [&]
                    {
                        loop.restart();
                        loop.run_for(100ms);
                        return std::exchange(sent, caller.sent) == caller.sent;
                    }));
    CHECK(sent < max_endless_bytes);
    expect_sound_response();
    LONGS_EQUAL(2, request_handler.requests);
}
