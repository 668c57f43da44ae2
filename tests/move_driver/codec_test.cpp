#include <rapidcheck.h>

#include "libraries/codecs/move/evidence_codec.hpp"
#include "libraries/codecs/move/move_state_codec.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;

TEST_GROUP(move_codec){};

TEST(move_codec, decodes_each_encoded_state)
{
    CHECK(rc::check(
        "decode is the inverse of encode",
        [](std::uint64_t identity, std::int64_t fencing,
           const std::vector<std::uint16_t>& ready)
        {
            domain::move_state state;
            state.route = "narration";
            state.from_version = "a \"quoted\"";
            state.to_version = "b";
            state.identity = identity;
            state.fencing = fencing;
            state.phase =
                static_cast<domain::move_phase>(*rc::gen::inRange(0, 6));
            state.share = *rc::gen::inRange(0, domain::full_share + 1);
            state.since += std::chrono::microseconds(
                *rc::gen::inRange<std::int64_t>(0, 1'000'000'000));
            for (const std::uint16_t name : ready)
            {
                state.ready_upstreams.push_back(std::to_string(name));
            }
            if (*rc::gen::arbitrary<bool>())
            {
                state.limits = domain::latency_limits{
                    std::chrono::milliseconds(*rc::gen::inRange(0, 1000)),
                    std::chrono::milliseconds(*rc::gen::inRange(0, 1000))};
            }
            const result<domain::move_state> read =
                codecs::decode_move_state(codecs::encode(state));
            RC_ASSERT(read.has_value());
            RC_ASSERT(read.value() == state);
        }));
}

TEST(move_codec, decodes_an_encoded_evidence_response)
{
    domain::evidence_response response;
    response.incarnation = "r0";
    domain::evidence_report report;
    report.route = "narration";
    report.tally.from.counts[1] = {10, 3};
    report.from_evidence.emplace();
    report.from_evidence->record(
        {false, std::chrono::milliseconds(123), std::chrono::milliseconds(20)});
    response.reports = {report};
    const result<domain::evidence_response> read =
        codecs::decode_evidence_response(codecs::encode(response));
    CHECK_TRUE(read.has_value());
    CHECK_TRUE(read.value().reports[0].tally == report.tally);
    CHECK_TRUE(read.value().reports[0].from_evidence == report.from_evidence);
}

TEST(move_codec, names_the_field_of_a_decoding_error)
{
    const auto field_of = [](const char* text)
    {
        const result<domain::evidence_response> read =
            codecs::decode_evidence_response(text);
        return read ? std::string() : read.failure().field;
    };
    STRCMP_EQUAL("evidence", field_of("{").c_str());
    STRCMP_EQUAL("incarnation", field_of(R"({"reports":[]})").c_str());
    STRCMP_EQUAL(
        "reports[0].from",
        field_of(R"({"incarnation":"r","reports":[{"route":"x","identity":1,
            "sequence":1,"cut":"","from":[1,2,0,0,0,0],
            "to":[0,0,0,0,0,0]}]})")
            .c_str());
}
