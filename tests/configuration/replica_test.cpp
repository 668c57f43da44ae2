#include <rapidcheck.h>

#include "libraries/codecs/configuration/configuration_codec.hpp"
#include "libraries/codecs/configuration/configuration_messages.hpp"
#include "libraries/domain/configuration/configuration_replica.hpp"
#include "tests/configuration/sample_configurations.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;

namespace
{

std::vector<tests::stored_version> sample_history(std::size_t length)
{
    const auto seeds = *rc::gen::container<std::vector<std::uint32_t>>(
        length, rc::gen::inRange<std::uint32_t>(0, 1000));
    std::vector<tests::stored_version> history;
    for (const std::uint32_t seed : seeds)
    {
        const auto version = static_cast<std::int64_t>(history.size()) + 1;
        history.push_back(tests::make_stored_version(
            tests::sample_configuration(seed), version));
    }
    return history;
}

/// Offers one head or part of the version; `choice` selects which one.
void offer_one(domain::configuration_replica& replica,
               const tests::stored_version& stored, std::size_t choice)
{
    const std::size_t index = choice % (stored.parts.size() + 2);
    if (index < stored.parts.size())
    {
        RC_ASSERT(replica.offer_part(stored.parts[index]).has_value());
        return;
    }
    RC_ASSERT(replica.offer_head(stored.head).has_value());
}

} // namespace

TEST_GROUP(configuration_replica){};

TEST(configuration_replica, never_reverts_and_never_holds_a_partial_version)
{
    CHECK(rc::check(
        "any order, loss and duplication of heads and parts",
        []
        {
            const std::vector<tests::stored_version> history =
                sample_history(5);
            domain::configuration_replica replica(
                codecs::assemble_configuration);
            const auto offers = *rc::gen::container<
                std::vector<std::pair<std::size_t, std::size_t>>>(
                rc::gen::pair(rc::gen::inRange<std::size_t>(0, 5),
                              rc::gen::inRange<std::size_t>(0, 64)));
            std::int64_t version = 0;
            for (const auto& [index, choice] : offers)
            {
                offer_one(replica, history[index], choice);
                RC_ASSERT(replica.current()->version >= version);
                version = replica.current()->version;
                if (version > 0)
                {
                    const auto& expected =
                        history[static_cast<std::size_t>(version) - 1];
                    RC_ASSERT(*replica.current() == expected.content);
                }
            }
            RC_ASSERT(replica.offer_head(history.back().head).has_value());
            for (const std::string& part : history.back().parts)
            {
                (void)replica.offer_part(part);
            }
            RC_ASSERT(*replica.current() == history.back().content);
        }));
}

TEST(configuration_replica, puts_the_newest_complete_version_in_force)
{
    const tests::stored_version old =
        tests::make_stored_version(tests::sample_configuration(1), 6);
    const tests::stored_version newer =
        tests::make_stored_version(tests::sample_configuration(2), 7);
    domain::configuration_replica replica(codecs::assemble_configuration);
    CHECK_FALSE(replica.offer_head(newer.head).value());
    CHECK_FALSE(replica.offer_head(old.head).value());
    for (const std::string& part : old.parts)
    {
        CHECK(replica.offer_part(part).has_value());
    }
    LONGS_EQUAL(6, replica.current()->version);
    for (const std::string& part : newer.parts)
    {
        CHECK(replica.offer_part(part).has_value());
    }
    LONGS_EQUAL(7, replica.current()->version);
}

TEST(configuration_replica,
     keeps_the_version_in_force_when_a_part_is_unreadable)
{
    const tests::stored_version good =
        tests::make_stored_version(tests::sample_configuration(1), 1);
    domain::configuration_replica replica(codecs::assemble_configuration);
    (void)replica.offer_head(good.head);
    for (const std::string& part : good.parts)
    {
        (void)replica.offer_part(part);
    }
    const std::string unknown_list = R"({"sledges": []})";
    domain::configuration_head head;
    head.version = 2;
    head.parts["routes"] = domain::part_digest(unknown_list);
    CHECK_FALSE(replica.offer_head(head).value());
    const result<bool> offered = replica.offer_part(unknown_list);
    CHECK(!offered);
    CHECK(result_code::corrupt_value == offered.failure().code);
    LONGS_EQUAL(1, replica.current()->version);
    CHECK_FALSE(replica.offer_head(head).value());
    CHECK(replica.missing_parts().empty());
}

TEST(configuration_replica, rejects_a_different_head_of_the_same_version)
{
    tests::stored_version stored = tests::make_stored_version({}, 1);
    domain::configuration_replica replica(codecs::assemble_configuration);
    CHECK_TRUE(replica.offer_head(stored.head).value());
    stored.head.writer = "another";
    CHECK_FALSE(replica.offer_head(stored.head).has_value());
}

TEST(configuration_replica, declarations_survive_encoding_and_decoding)
{
    CHECK(rc::check(
        "declarations and parts",
        [](std::uint16_t seed)
        {
            const domain::configuration written =
                tests::sample_configuration(seed);
            domain::configuration read;
            for (const json& declaration : codecs::encode_declarations(written))
            {
                RC_ASSERT(codecs::decode_declaration(declaration, "f", read)
                              .has_value());
            }
            RC_ASSERT(read == written);
        }));
}

TEST(configuration_replica,
     a_peer_response_has_the_parts_that_an_older_replica_lacks)
{
    const tests::stored_version stored =
        tests::make_stored_version(tests::sample_configuration(3), 4);
    domain::part_texts texts;
    for (const std::string& part : stored.parts)
    {
        texts[domain::part_digest(part)] = part;
    }
    const codecs::configuration_response response =
        codecs::make_configuration_response({3, {}}, stored.head, texts);
    LONGS_EQUAL(stored.parts.size(), response.parts.size());
    CHECK(response.head == stored.head);
    const codecs::configuration_response none =
        codecs::make_configuration_response({4, {}}, stored.head, texts);
    CHECK(none.parts.empty());
    CHECK_FALSE(none.head.has_value());
    CHECK_FALSE(codecs::decode_configuration_response("[1]").has_value());
    CHECK_FALSE(codecs::decode_configuration_request("{\"version\": \"x\"}")
                    .has_value());
}
