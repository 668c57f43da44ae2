#include "libraries/ports/http_syntax.hpp"
#include "tests/asio/loopback.hpp"

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::tests;
using namespace std::chrono_literals;
using ports::response_defect;

namespace
{

constexpr std::string_view id_field = "X-Request-Id: 1\r\n";

std::string make_response(std::string_view status, const std::string& line = "")
{
    return fmt::format("HTTP/1.1 {} S\r\n{}{}Content-Length: 0\r\n\r\n", status,
                       id_field, line);
}

/// Lines that have one byte at the beginning, in the middle or at the end of
/// the name of a field.
std::vector<std::string> make_lines_with(char byte)
{
    return {std::string("Na") + byte + "me: v\r\n",
            std::string("Name") + byte + ": v\r\n",
            std::string(1, byte) + "Name: v\r\n"};
}

} // namespace

TEST_GROUP(broken_head_group)
{
    asio::io_context loop;
    adapters::system_clock clock;
    adapters::upstream_connection_pool pool{loop, clock};
    scripted_upstream upstream{loop};

    ports::outgoing_call make_call() const
    {
        ports::outgoing_call call;
        call.address = upstream.address();
        call.bytes = "GET / HTTP/1.1\r\n\r\n";
        call.echoed_field_name = "X-Request-Id";
        call.echoed_field_value = "1";
        call.connect_timeout = 5s;
        return call;
    }

    std::shared_ptr<recording_listener> receive(const std::string& response)
    {
        upstream.responses.push_back(response);
        const auto listener = std::make_shared<recording_listener>();
        listener->call = pool.start(make_call(), listener);
        CHECK(run_until(loop, [&] { return listener->is_finished; }));
        return listener;
    }

    void expect_defect(response_defect expected, const std::string& response)
    {
        const auto listener = receive(response);
        CHECK_TEXT(listener->failure.has_value(), response.c_str());
        CHECK_FALSE(listener->is_complete);
        CHECK_TEXT(listener->call->defect() == expected, response.c_str());
        listener->call.reset();
    }

    void expect_complete(const std::string& response)
    {
        const auto listener = receive(response);
        CHECK_TEXT(listener->is_complete, response.c_str());
        CHECK(listener->call->defect() == response_defect::none);
        listener->call.reset();
    }
};

TEST(broken_head_group, only_final_statuses_from_200_to_599_end_a_call)
{
    for (int number = 0; number < 1'000; ++number)
    {
        const std::string response =
            make_response(fmt::format("{:03}", number));
        if (!ports::is_valid_status(number))
        {
            expect_defect(response_defect::invalid_status, response);
        }
        else if (!ports::is_interim_status(number))
        {
            expect_complete(response);
        }
    }
}

TEST(broken_head_group, a_status_has_three_digits)
{
    for (const std::string_view status :
         {"20", "2000", "0200", "-20", "+20", "2 0", "20x", "abc", "2\t0"})
    {
        expect_defect(response_defect::invalid_status, make_response(status));
    }
}

TEST(broken_head_group, an_invalid_status_after_an_interim_response_is_found)
{
    expect_defect(response_defect::invalid_status,
                  "HTTP/1.1 100 Continue\r\n\r\n" + make_response("000"));
}

TEST(broken_head_group, the_response_to_another_request_is_checked_too)
{
    const std::string other = "HTTP/1.1 000 S\r\nX-Request-Id: 0\r\n"
                              "Content-Length: 0\r\n\r\n";
    expect_defect(response_defect::invalid_status,
                  other + make_response("200"));
}

TEST(broken_head_group, an_invalid_status_on_a_kept_connection_is_found)
{
    upstream.responses = {make_response("200"), make_response("000")};
    ports::outgoing_call first = make_call();
    first.echoed_field_name.clear();
    first.echoed_field_value.clear();
    const auto sound = std::make_shared<recording_listener>();
    sound->call = pool.start(std::move(first), sound);
    CHECK(run_until(loop, [&] { return sound->is_finished; }));
    CHECK(sound->is_complete);
    sound->call.reset();
    ports::outgoing_call second = make_call();
    second.max_idle = 60s;
    const auto broken = std::make_shared<recording_listener>();
    broken->call = pool.start(std::move(second), broken);
    CHECK(run_until(loop, [&] { return broken->is_finished; }));
    CHECK(broken->call->defect() == response_defect::invalid_status);
    LONGS_EQUAL(1, upstream.connections);
    CHECK(run_until(loop, [&] { return upstream.closed_connections == 1; }));
    broken->call.reset();
}

TEST(broken_head_group, a_probe_is_not_answered_by_an_invalid_status)
{
    upstream.responses = {"HTTP/1.1 000 S\r\nContent-Length: 0\r\n\r\n"};
    ports::path_probe sent;
    sent.address = upstream.address();
    sent.bytes = "GET /health HTTP/1.1\r\n\r\n";
    sent.connect_timeout = 5s;
    sent.response_timeout = 20s;
    std::optional<ports::probe_result> result;
    pool.probe(std::move(sent),
               [&](ports::probe_result outcome) { result = outcome; });
    CHECK(run_until(loop, [&] { return result.has_value(); }));
    CHECK(result == ports::probe_result::failed);
}

TEST(broken_head_group, names_of_fields_have_the_bytes_of_tokens_only)
{
    for (int code = 0; code < 256; ++code)
    {
        const char byte = static_cast<char>(code);
        for (const std::string& line : make_lines_with(byte))
        {
            // Such a line names a field `Na` or `Name`, or continues the line
            // before it.
            const bool is_sound_otherwise =
                (byte == ':' && line[0] != ':') ||
                ((byte == ' ' || byte == '\t') && line[0] == byte);
            const std::string response =
                make_response("200", "Before: v\r\n" + line);
            if (is_sound_otherwise || ports::is_field_name_byte(byte))
            {
                expect_complete(response);
            }
            else if (byte != '\r' || line[0] != '\r')
            {
                expect_defect(response_defect::invalid_field_name, response);
            }
        }
    }
}

TEST(broken_head_group, names_of_trailers_have_the_bytes_of_tokens_only)
{
    const std::string head =
        fmt::format("HTTP/1.1 200 S\r\n{}Transfer-Encoding: chunked\r\n\r\n"
                    "4\r\nbody\r\n0\r\n",
                    id_field);
    for (int code = 0; code < 256; ++code)
    {
        const char byte = static_cast<char>(code);
        const std::string response =
            head + std::string("Na") + byte + "me: v\r\n\r\n";
        if (byte == ':' || ports::is_field_name_byte(byte))
        {
            expect_complete(response);
        }
        else
        {
            expect_defect(response_defect::invalid_field_name, response);
        }
    }
}

TEST(broken_head_group, a_line_that_begins_with_a_return_is_invalid)
{
    expect_defect(response_defect::invalid_syntax,
                  make_response("200", "\rName: v\r\n"));
}

TEST(broken_head_group, other_bytes_that_are_not_of_the_protocol_are_named)
{
    expect_defect(response_defect::invalid_syntax,
                  make_response("200", "Content-Length: x\r\n"));
    expect_defect(response_defect::invalid_syntax,
                  make_response("200", std::string("Name: a\0b\r\n", 11)));
    expect_defect(response_defect::too_long,
                  make_response("200", "Name: " + std::string(80 << 10, 'x')));
}
