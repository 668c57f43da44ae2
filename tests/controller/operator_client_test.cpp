#include "utilities/turmericctl/operator_client.hpp"

#include <operator.pb.h>

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using ctl::exchange_kind;
using ctl::exit_status;
using ctl::retry_safety;

namespace
{

/// Returns scripted results of calls and records which controllers were called.
struct fixture
{
    std::optional<exit_status> call(retry_safety retries)
    {
        ctl::operator_client client(
            {"one", "two"},
            [this](const std::string& controller, const std::string&,
                   const std::string&)
            {
                called += controller + ' ';
                const std::size_t index = std::min(next++, script.size() - 1);
                return script[index];
            });
        turmericfront::v1::CreateKeyReply reply;
        const std::optional<ctl::call_failure> failure = client.call(
            "CreateKey", turmericfront::v1::CreateKeyRequest(), retries, reply);
        return failure ? std::optional(failure->status) : std::nullopt;
    }

    std::vector<ctl::exchange> script;
    std::size_t next = 0;
    std::string called;
};

const ctl::exchange unreachable{exchange_kind::unreachable, 0, ""};
const ctl::exchange reply_lost{exchange_kind::reply_lost, 0, ""};
const ctl::exchange replied{exchange_kind::replied, 200, "{}"};
const ctl::exchange unknown{exchange_kind::replied, 503,
                            R"({"outcome": "outcome_unknown"})"};
const ctl::exchange conflict{exchange_kind::replied, 409,
                             R"({"code": 6001, "outcome": "not_run"})"};

} // namespace

TEST_GROUP(operator_client){};

TEST(operator_client, tries_the_next_controller_when_one_is_unreachable)
{
    fixture f;
    f.script = {unreachable, replied};
    CHECK_FALSE(f.call(retry_safety::unsafe).has_value());
    STRCMP_EQUAL("one two ", f.called.c_str());
}

TEST(operator_client, never_repeats_an_unsafe_call_whose_reply_was_lost)
{
    fixture f;
    f.script = {reply_lost, replied};
    CHECK(exit_status::outcome_unknown == f.call(retry_safety::unsafe));
    STRCMP_EQUAL("one ", f.called.c_str());
    fixture g;
    g.script = {unknown, replied};
    CHECK(exit_status::outcome_unknown == g.call(retry_safety::unsafe));
    STRCMP_EQUAL("one ", g.called.c_str());
}

TEST(operator_client, repeats_a_safe_call_until_its_outcome_is_known)
{
    fixture f;
    f.script = {reply_lost, unknown, replied};
    CHECK_FALSE(f.call(retry_safety::safe).has_value());
    STRCMP_EQUAL("one two one ", f.called.c_str());
    fixture g;
    g.script = {reply_lost};
    CHECK(exit_status::outcome_unknown == g.call(retry_safety::safe));
    STRCMP_EQUAL("one two one two one two ", g.called.c_str());
}

TEST(operator_client, a_refusal_is_final)
{
    fixture f;
    f.script = {conflict, replied};
    CHECK(exit_status::conflict == f.call(retry_safety::safe));
    fixture g;
    g.script = {unreachable};
    CHECK(exit_status::unreachable == g.call(retry_safety::safe));
    STRCMP_EQUAL("one two ", g.called.c_str());
}
