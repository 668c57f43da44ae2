#include "utilities/turmericctl/operator_client.hpp"

#include <operator.pb.h>

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using ctl::exchange_kind;
using ctl::exit_status;
using ctl::repetition;

namespace
{

/// Returns scripted results of calls and records which controllers were called.
struct fixture
{
    std::optional<exit_status> call(repetition repeats)
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
            "CreateKey", turmericfront::v1::CreateKeyRequest(), repeats, reply);
        return failure ? std::optional(failure->status) : std::nullopt;
    }

    std::vector<ctl::exchange> script;
    std::size_t next = 0;
    std::string called;
};

const ctl::exchange unreachable{exchange_kind::unreachable, 0, ""};
const ctl::exchange lost{exchange_kind::lost, 0, ""};
const ctl::exchange answered{exchange_kind::answered, 200, "{}"};
const ctl::exchange unknown{exchange_kind::answered, 503,
                            R"({"outcome": "outcome_unknown"})"};
const ctl::exchange conflict{exchange_kind::answered, 409,
                             R"({"code": 6001, "outcome": "not_run"})"};

} // namespace

TEST_GROUP(operator_client){};

TEST(operator_client, tries_the_next_controller_when_one_is_unreachable)
{
    fixture f;
    f.script = {unreachable, answered};
    CHECK_FALSE(f.call(repetition::unsafe).has_value());
    STRCMP_EQUAL("one two ", f.called.c_str());
}

TEST(operator_client, never_repeats_an_unsafe_call_whose_reply_was_lost)
{
    fixture f;
    f.script = {lost, answered};
    CHECK(exit_status::outcome_unknown == f.call(repetition::unsafe));
    STRCMP_EQUAL("one ", f.called.c_str());
    fixture g;
    g.script = {unknown, answered};
    CHECK(exit_status::outcome_unknown == g.call(repetition::unsafe));
    STRCMP_EQUAL("one ", g.called.c_str());
}

TEST(operator_client, repeats_a_safe_call_until_its_outcome_is_known)
{
    fixture f;
    f.script = {lost, unknown, answered};
    CHECK_FALSE(f.call(repetition::safe).has_value());
    STRCMP_EQUAL("one two one ", f.called.c_str());
    fixture g;
    g.script = {lost};
    CHECK(exit_status::outcome_unknown == g.call(repetition::safe));
    STRCMP_EQUAL("one two one two one two ", g.called.c_str());
}

TEST(operator_client, a_refusal_is_final)
{
    fixture f;
    f.script = {conflict, answered};
    CHECK(exit_status::conflict == f.call(repetition::safe));
    fixture g;
    g.script = {unreachable};
    CHECK(exit_status::unreachable == g.call(repetition::safe));
    STRCMP_EQUAL("one two ", g.called.c_str());
}
