#include "libraries/adapters/asio/asio.hpp"
#include "libraries/adapters/nghttp2/peer_node.hpp"
#include "libraries/adapters/system/system_clock.hpp"

#include <array>
#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace std::chrono_literals;
using adapters::tcp;

namespace
{

namespace asio = adapters::asio;

enum class frame_type : std::uint8_t
{
    data = 0,
    headers = 1,
    rst_stream = 3,
    settings = 4,
};

constexpr std::uint8_t end_stream = 1;
constexpr std::uint8_t end_headers = 4;
constexpr std::uint8_t first_stream = 1;

/// Returns a frame of HTTP/2 (RFC 9113, 4.1). Precondition: the payload is
/// shorter than 256 bytes.
std::string make_frame(frame_type type, std::uint8_t flags, std::uint8_t stream,
                       const std::string& payload)
{
    std::string frame(2, '\0');
    frame += static_cast<char>(payload.size());
    frame += static_cast<char>(type);
    frame += static_cast<char>(flags);
    frame += std::string(3, '\0') + static_cast<char>(stream);
    return frame + payload;
}

/// Returns a field as a literal of HPACK (RFC 7541, 6.2.2).
std::string make_field(const std::string& name, const std::string& value)
{
    std::string field(1, '\0');
    field += static_cast<char>(name.size()) + name;
    return field + static_cast<char>(value.size()) + value;
}

std::string make_head(const std::string& status, const std::string& extra = "")
{
    return make_frame(frame_type::headers, end_headers, first_stream,
                      make_field(":status", status) + extra);
}

std::string make_data(std::uint8_t flags, const std::string& bytes)
{
    return make_frame(frame_type::data, flags, first_stream, bytes);
}

/// A reset of the stream without an error, as servers send after a complete
/// response to end an upload.
std::string make_reset()
{
    return make_frame(frame_type::rst_stream, 0, first_stream,
                      std::string(4, '\0'));
}

} // namespace

/// A peer that sends prepared frames as its response to the first request.
TEST_GROUP(broken_peer)
{
    adapters::system_clock clock;
    asio::io_context loop;
    tcp::acceptor acceptor{loop,
                           tcp::endpoint(asio::ip::address_v4::loopback(), 0)};

    result<std::string> call(const std::string& frames)
    {
        std::thread peer([this, frames] { serve(frames); });
        adapters::peer_node client{clock, [](const ports::peer_message&)
                                   { return result<std::string>("unused"); }};
        CHECK_TRUE(client.start("127.0.0.1", 0).has_value());
        const std::string address =
            "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        const result<std::string> response =
            client.call(address, {"kind", "body"}, 10s);
        client.stop();
        peer.join();
        return response;
    }

    void serve(const std::string& frames)
    {
        tcp::socket connection = acceptor.accept();
        boost::system::error_code ended;
        std::array<char, 4'096> block{};
        std::string received;
        while (!ended && received.find("body") == std::string::npos)
        {
            const std::size_t bytes =
                connection.read_some(asio::buffer(block), ended);
            received.append(block.data(), bytes);
        }
        asio::write(
            connection,
            asio::buffer(make_frame(frame_type::settings, 0, 0, "") + frames),
            ended);
        while (!ended)
        {
            connection.read_some(asio::buffer(block), ended);
        }
    }
};

TEST(broken_peer, a_complete_response_is_returned)
{
    const result<std::string> response =
        call(make_head("200") + make_data(end_stream, "whole"));
    CHECK_TRUE(response.has_value());
    STRCMP_EQUAL("whole", response.value().c_str());
}

TEST(broken_peer, a_reset_without_an_error_after_the_end_changes_nothing)
{
    CHECK_TRUE(
        call(make_head("200") + make_data(end_stream, "whole") + make_reset())
            .has_value());
}

TEST(broken_peer, an_interim_response_and_trailers_are_accepted)
{
    const std::string trailers =
        make_frame(frame_type::headers, end_headers | end_stream, first_stream,
                   make_field("x-sum", "1"));
    const result<std::string> response = call(
        make_head("103") + make_head("200") + make_data(0, "whole") + trailers);
    CHECK_TRUE(response.has_value());
    STRCMP_EQUAL("whole", response.value().c_str());
}

TEST(broken_peer, a_reset_without_an_error_before_the_end_is_no_end)
{
    const result<std::string> response =
        call(make_head("200") + make_data(0, "part") + make_reset());
    CHECK_FALSE(response.has_value());
    CHECK(response.failure().effect == outcome::outcome_unknown);
}

TEST(broken_peer, a_status_other_than_200_is_a_failure)
{
    for (const char* const status : {"000", "099", "600", "999", "20", "2000"})
    {
        CHECK_FALSE(call(make_head(status) + make_data(end_stream, "body"))
                        .has_value());
    }
}

TEST(broken_peer, a_field_with_an_invalid_name_is_a_failure)
{
    for (const std::string name : {"x fi", "x\tfi",
                                   "x\x01"
                                   "fi",
                                   "x\x7f"
                                   "fi"})
    {
        CHECK_FALSE(call(make_head("200", make_field(name, "v")) +
                         make_data(end_stream, "body"))
                        .has_value());
        CHECK_FALSE(
            call(make_head("200") + make_data(0, "body") +
                 make_frame(frame_type::headers, end_headers | end_stream,
                            first_stream, make_field(name, "v")))
                .has_value());
    }
}
