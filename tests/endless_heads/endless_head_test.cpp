#include "libraries/adapters/httplib/http_upstream_caller.hpp"
#include "libraries/adapters/vm_list/http_vm_list.hpp"
#include "tests/endless_bytes/endless_server.hpp"

#include <CppUTest/TestHarness.h>
#include <functional>

using namespace turmeric;
using namespace turmeric::tests;

namespace
{

/// More bytes than a head may have, a socket's buffers included.
constexpr std::size_t max_endless_bytes = 16 << 20;

/// Returns whether the bytes have neither an end of a head, nor of the framing
/// of a body. The clients here accept a response to another request.
bool is_endless_head(const endless_response& response)
{
    const std::string bytes = response.beginning + response.repeated;
    return response.effect != endless_effect::endless_body &&
           bytes.find("X-Request-Id") == std::string::npos;
}

} // namespace

TEST_GROUP(endless_head_group){
    static void expect_ended(const std::function<void(std::string)>& call){
        for (const endless_response& response
             : make_endless_responses()){if (is_endless_head(response)){
            const endless_server server(response, max_endless_bytes);
call(server.address_text());
CHECK_TEXT(server.sent() < max_endless_bytes, response.name);
}
}
}
}
;

TEST(endless_head_group, a_head_without_end_fails_the_reading_of_the_vm_list)
{
    expect_ended(
        [](std::string address)
        {
            adapters::http_vm_list list({std::move(address)});
            CHECK(!list.read());
        });
}

TEST(endless_head_group, a_head_without_end_fails_a_call_to_an_upstream)
{
    expect_ended(
        [](const std::string& address)
        {
            adapters::http_upstream_caller caller(std::chrono::seconds(1), 1);
            ports::upstream_request request;
            request.method = "GET";
            request.path = "/";
            request.idle_timeout = std::chrono::seconds(2);
            const ports::upstream_response_sink sink{
                [](const ports::upstream_response_head& /*head*/)
                { return true; },
                [](std::string_view /*bytes*/) { return true; }};
            CHECK(!caller.send(address, request, sink));
        });
}
