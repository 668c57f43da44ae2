#include <rapidcheck.h>

#include "libraries/codecs/budget/batch_codec.hpp"
#include "libraries/codecs/budget/claim_codec.hpp"
#include "libraries/codecs/budget/shard_codec.hpp"
#include "libraries/domain/budget/shard_changes.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::domain;
using std::chrono::seconds;

TEST_GROUP(codec){};

namespace
{

tokens random_tokens(tokens maximum)
{
    return *rc::gen::resize(rc::kNominalSize,
                            rc::gen::inRange<tokens>(0, maximum));
}

budget_shard random_shard()
{
    const rate_share_policy policy{rate_share_settings{}};
    const shard_limits limits;
    const sys_seconds now{seconds(1'700'000'000)};
    budget_shard shard;
    for (int i = 0; i < 4; ++i)
    {
        RC_ASSERT(
            apply_top_up(shard,
                         {"a" + std::to_string(i % 2), "b\"\\",
                          std::to_string(i), 1 + random_tokens(1'000'000'000)},
                         now, limits)
                .has_value());
    }
    for (int i = 1; i < 12; ++i)
    {
        router_batch batch{"r" + std::to_string(i % 3),
                           1 + i / 3,
                           now + seconds(random_tokens(1000) + 1),
                           {},
                           {},
                           false};
        batch.updates.push_back(
            {"a1/b\"\\", {random_tokens(1000)}, 0, random_tokens(100)});
        if (batch.operation > 1)
        {
            batch.bills.push_back({"a1/b\"\\",
                                   *rc::gen::arbitrary<std::uint64_t>(),
                                   *rc::gen::arbitrary<std::uint32_t>(),
                                   random_tokens(50), now, false});
        }
        static_cast<void>(
            apply_batch(shard, batch, now + seconds(i / 4), limits, policy));
    }
    static_cast<void>(freeze_incarnation(shard, "r1", now));
    return shard;
}

/// Returns a shard as in production, with the given numbers of records and
/// with names and numbers of full length.
budget_shard filled_shard(std::size_t budgets, std::size_t grants,
                          std::size_t incarnations, std::size_t bills)
{
    const sys_seconds now{seconds(1'780'000'000)};
    budget_shard shard;
    for (std::size_t i = 0; i < incarnations; ++i)
    {
        const std::int32_t slot = static_cast<std::int32_t>(i);
        shard.incarnations.push_back({"router-vm-0123-5f3a9c1e", slot, 100'000,
                                      now, grant_state::active, now});
    }
    for (std::size_t i = 0; i < budgets; ++i)
    {
        budget_account& account =
            shard.budgets["account-0" + std::to_string(1000 + i) + "/main"];
        account.top_ups.push_back({"2026-12-invoice-00017", 1LL << 40, now});
        account.top_ups.push_back({"2026-12-invoice-00018", 1LL << 40, now});
        for (std::size_t j = i; j < grants; j += budgets)
        {
            account.grants.push_back({static_cast<std::int32_t>(j % 330),
                                      9'999'999, 8'888'888, 120'000});
        }
    }
    for (std::size_t i = 0; i < bills; ++i)
    {
        if (i % 60 == 0)
        {
            shard.bill_pages.push_back({now, {}});
        }
        shard.bill_pages.back().bills.push_back({i << 40, 7, 900, 3});
    }
    return shard;
}

} // namespace

TEST(codec, encodes_a_full_shard_within_the_platforms_value_limit)
{
    constexpr std::size_t value_bytes = 1'000'000;
    // The usual shard: 13,000 budgets over 64 shards with 6 routers each, 330
    // incarnations, and the bills of 120 s at 4,000 requests per second.
    const std::size_t usual =
        codecs::encode_shard(filled_shard(204, 1'224, 330, 7'500)).size();
    const shard_limits limits;
    const std::size_t full =
        codecs::encode_shard(
            filled_shard(204, limits.grants, limits.incarnations, limits.bills))
            .size();
    UT_PRINT(("usual " + std::to_string(usual) + " bytes, full " +
              std::to_string(full) + " bytes")
                 .c_str());
    CHECK_TRUE(usual < value_bytes);
    CHECK_TRUE(full < value_bytes);
}

TEST(codec, round_trips_every_shard)
{
    CHECK(rc::check(
        "encoding a decoded shard gives the same text",
        []
        {
            const std::string text = codecs::encode_shard(random_shard());
            const result<budget_shard> decoded = codecs::decode_shard(text);
            RC_ASSERT(decoded.has_value());
            RC_ASSERT(codecs::encode_shard(decoded.value()) == text);
        }));
}

TEST(codec, rejects_a_truncated_or_inconsistent_shard)
{
    CHECK(rc::check("a truncated text is rejected, and a changed one is never "
                    "decoded to an inconsistent shard",
                    []
                    {
                        std::string text = codecs::encode_shard(random_shard());
                        const std::size_t offset = static_cast<std::size_t>(
                            random_tokens(static_cast<tokens>(text.size())));
                        const std::string truncated = text.substr(0, offset);
                        RC_ASSERT(!codecs::decode_shard(truncated).has_value());
                        text[offset] = *rc::gen::arbitrary<char>();
                        const result<budget_shard> decoded =
                            codecs::decode_shard(text);
                        const bool is_safe =
                            !decoded || is_consistent(decoded.value());
                        RC_ASSERT(is_safe);
                    }));
}

TEST(codec, round_trips_batches_and_replies)
{
    router_batch batch{"r1", 7, sys_seconds(seconds(5)), {}, {}, true};
    batch.updates.push_back({"a/b", {1, 2}, 3, 4});
    batch.bills.push_back(
        {"a/b", ~0ULL, ~0U, 6, sys_seconds(seconds(8)), true});
    const std::string text = codecs::encode_batch(9, batch);
    const result<codecs::forwarded_batch> decoded = codecs::decode_batch(text);
    CHECK_TRUE(decoded.has_value());
    STRCMP_EQUAL(text.c_str(), codecs::encode_batch(decoded.value().shard,
                                                    decoded.value().batch)
                                   .c_str());
    batch_reply reply{batch_state::closed, true, {}, {}};
    reply.snapshots.push_back({"a/b", 1, 2, 3, 4, true});
    reply.bills.push_back({~0ULL, bill_state::expired, 5});
    const std::string reply_text = codecs::encode_batch_reply(reply);
    const result<batch_reply> decoded_reply =
        codecs::decode_batch_reply(reply_text);
    CHECK_TRUE(decoded_reply.has_value());
    STRCMP_EQUAL(reply_text.c_str(),
                 codecs::encode_batch_reply(decoded_reply.value()).c_str());
    CHECK_TRUE(codecs::decode_batch("{}").failure().code ==
               result_code::peer_protocol);
    CHECK_TRUE(codecs::decode_batch_reply("[]").failure().code ==
               result_code::peer_protocol);
}

TEST(codec, round_trips_claims)
{
    const claim_value claim{"r1", 4, sys_seconds(seconds(99))};
    const result<claim_value> decoded =
        codecs::decode_claim(codecs::encode_claim(claim));
    CHECK_TRUE(decoded.has_value());
    STRCMP_EQUAL("r1", decoded.value().incarnation.c_str());
    LONGS_EQUAL(4, decoded.value().attempt);
    CHECK_TRUE(codecs::decode_claim("{}").failure().code ==
               result_code::corrupt_value);
}
