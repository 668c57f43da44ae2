#include "libraries/adapters/httplib/response_head_reader.hpp"
#include "libraries/ports/http_syntax.hpp"

#include <fmt/format.h>
#include <optional>

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using adapters::response_head_reader;
using ports::response_defect;
using progress = adapters::response_head_reader::progress;

namespace
{

std::string make_head(std::string_view status, const std::string& line = "")
{
    return fmt::format("HTTP/1.1 {} S\r\n{}\r\n", status, line);
}

/// Returns the defect of a head, or `none` if it is accepted.
response_defect defect_of(const std::string& bytes)
{
    response_head_reader reader;
    if (reader.append(bytes) == progress::complete)
    {
        STRCMP_EQUAL(bytes.c_str(), reader.take_bytes().c_str());
    }
    return reader.defect();
}

void expect_defect(response_defect expected, const std::string& bytes)
{
    CHECK_TEXT(defect_of(bytes) == expected, bytes.c_str());
}

} // namespace

TEST_GROUP(response_head_reader_group){};

TEST(response_head_reader_group, a_status_is_a_number_from_100_to_599)
{
    for (int status = 0; status < 1'000; ++status)
    {
        const bool is_accepted =
            ports::is_valid_status(status) && status != 101;
        const response_defect other =
            status == 101 ? response_defect::unexpected_responses
                          : response_defect::invalid_status;
        expect_defect(is_accepted ? response_defect::none : other,
                      make_head(fmt::format("{:03}", status)));
    }
    for (const char* const status : {"20", "2000", "-20", "2 0", "abc", ""})
    {
        expect_defect(response_defect::invalid_status, make_head(status));
    }
}

TEST(response_head_reader_group, names_have_the_bytes_of_tokens_only)
{
    for (int code = 0; code < 256; ++code)
    {
        const char byte = static_cast<char>(code);
        const std::string line = std::string("Na") + byte + "me: v\r\n";
        const bool is_legal = byte == ':' || ports::is_field_name_byte(byte);
        expect_defect(is_legal ? response_defect::none
                               : response_defect::invalid_field_name,
                      make_head("200", line));
    }
    for (const char* const line :
         {": v\r\n", "Name\r\n", "Name : v\r\n", "Name :\r\n", " Name: v\r\n"})
    {
        expect_defect(response_defect::invalid_field_name,
                      make_head("200", line));
    }
}

TEST(response_head_reader_group, values_and_reasons_have_no_control_bytes)
{
    expect_defect(response_defect::none,
                  make_head("200", "Name: a\t\xe9 b\r\n continued\r\n"));
    expect_defect(response_defect::invalid_syntax,
                  make_head("200", "Name: a\x01\r\n"));
    expect_defect(response_defect::invalid_syntax,
                  make_head("200", "Name: a\x7f\r\n"));
    expect_defect(response_defect::invalid_syntax, make_head("200 \x01"));
    expect_defect(response_defect::invalid_syntax, "HTTP/2.0 200 S\r\n\r\n");
    expect_defect(response_defect::invalid_syntax, "no HTTP\r\n\r\n");
}

TEST(response_head_reader_group, interim_responses_are_dropped)
{
    response_head_reader reader;
    CHECK(reader.append(make_head("100")) == progress::incomplete);
    CHECK(reader.append(make_head("103", "Link: </x>\r\n") + make_head("200") +
                        "body") == progress::complete);
    STRCMP_EQUAL((make_head("200") + "body").c_str(),
                 reader.take_bytes().c_str());
}

TEST(response_head_reader_group, an_interim_response_may_have_no_reason)
{
    // Neither the reason nor the blank before it is sent by every server.
    response_head_reader reader;
    CHECK(reader.append("HTTP/1.1 100\r\n\r\n") == progress::incomplete);
    CHECK(reader.append("HTTP/1.1 200\r\n\r\n") == progress::complete);
    expect_defect(response_defect::invalid_status,
                  "HTTP/1.1 100\r\n\r\n" + make_head("000"));
}

TEST(response_head_reader_group, interim_responses_are_checked_and_limited)
{
    expect_defect(response_defect::invalid_field_name,
                  make_head("103", "Na me: v\r\n") + make_head("200"));
    expect_defect(response_defect::invalid_status,
                  make_head("100") + make_head("000"));
    std::string many;
    for (int count = 0; count < 9; ++count)
    {
        many += make_head("100");
    }
    expect_defect(response_defect::unexpected_responses, many);
}

TEST(response_head_reader_group, a_head_can_arrive_byte_by_byte)
{
    response_head_reader reader;
    const std::string head = make_head("200", "Name: v\r\n");
    for (std::size_t at = 0; at + 1 < head.size(); ++at)
    {
        CHECK(reader.append(head.substr(at, 1)) == progress::incomplete);
    }
    CHECK(reader.append("\n") == progress::complete);
}

TEST(response_head_reader_group, a_head_without_end_is_too_long)
{
    response_head_reader reader;
    progress last = progress::incomplete;
    for (int block = 0; block < 100 && last == progress::incomplete; ++block)
    {
        last = reader.append(std::string(1'024, 'x'));
    }
    CHECK(last == progress::invalid);
    CHECK(reader.defect() == response_defect::too_long);
}
