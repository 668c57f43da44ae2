#include "libraries/ports/http_syntax.hpp"

#include <CppUTest/TestHarness.h>
#include <string>

using namespace turmeric;

TEST_GROUP(http_syntax_group){};

TEST(http_syntax_group, statuses_from_100_to_599_are_valid)
{
    for (const int status : {-1, 0, 1, 99, 600, 999, 1'000})
    {
        CHECK_FALSE(ports::is_valid_status(status));
    }
    for (int status = 100; status < 600; ++status)
    {
        CHECK(ports::is_valid_status(status));
    }
}

TEST(http_syntax_group, statuses_from_100_to_199_are_interim)
{
    for (int status = 0; status < 1'000; ++status)
    {
        CHECK_EQUAL(status / 100 == 1, ports::is_interim_status(status));
    }
}

TEST(http_syntax_group, names_have_the_bytes_of_tokens_only)
{
    const std::string legal = "!#$%&'*+-.^_`|~0123456789"
                              "abcdefghijklmnopqrstuvwxyz"
                              "ABCDEFGHIJKLMNOPQRSTUVWXYZ";
    for (int code = 0; code < 256; ++code)
    {
        const char byte = static_cast<char>(code);
        const bool is_legal = legal.find(byte) != std::string::npos;
        CHECK_EQUAL(is_legal, ports::is_field_name(std::string("X") + byte));
        CHECK_EQUAL(is_legal, ports::is_field_name(std::string(1, byte)));
    }
    CHECK_FALSE(ports::is_field_name(""));
}
