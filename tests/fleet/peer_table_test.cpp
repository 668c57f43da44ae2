#include <rapidcheck.h>

#include "libraries/codecs/fleet/digest_codec.hpp"
#include "libraries/codecs/fleet/token_message.hpp"
#include "libraries/core/json.hpp"
#include "libraries/drivers/fleet/peer_table.hpp"

#include <CppUTest/TestHarness.h>
#include <limits>

using namespace turmeric;
using namespace std::chrono_literals;

namespace
{

codecs::peer_digest sample_digest()
{
    codecs::peer_digest digest;
    digest.incarnation = "b";
    digest.sequence = 7;
    digest.configuration_version = 3;
    digest.is_store_unavailable = true;
    digest.store_contact = {ports::steady_time(90s), ports::steady_time(98s)};
    digest.load["u1"] = {2, 900};
    digest.accounts["acme"] = {10, 20, 30, 4};
    digest.observations.suspect_parts.push_back(
        {{domain::suspect_kind::request, 0xdead},
         {{17, ports::steady_time(97s), ports::steady_time(94s)},
          {18, ports::steady_time(98s), ports::steady_time(97500ms)}},
         ports::steady_time(96s),
         ports::steady_time(99s),
         1});
    digest.observations.rate_limits = {
        {21, 2.4, ports::steady_time(95s)},
        {22, std::nullopt, ports::steady_time(96s)}};
    digest.cut_off_services = {"s1", "s2"};
    digest.observations.brittle = {
        {31, 2, ports::steady_time(95s), ports::steady_time(94s)},
        {32, std::nullopt, ports::steady_time(96s), std::nullopt}};
    return digest;
}

} // namespace

TEST_GROUP(peer_table_group)
{
    ports::steady_time now{100s};
    drivers::peer_table peers{{"a", "va", "east", "10.0.0.1:1", "10.0.0.1:2"}};

    void receive_digest(std::int64_t sequence, bool is_store_unavailable)
    {
        codecs::peer_digest digest = sample_digest();
        digest.sequence = sequence;
        digest.is_store_unavailable = is_store_unavailable;
        peers.apply_digest(digest, now);
    }
};

TEST(peer_table_group, a_written_digest_is_read_back_unchanged)
{
    const result<codecs::peer_digest> read =
        codecs::read_digest(codecs::write_digest(sample_digest(), now), now);
    CHECK(bool(read));
    const codecs::peer_digest& digest = read.value();
    CHECK(digest.incarnation == "b");
    LONGS_EQUAL(7, digest.sequence);
    LONGS_EQUAL(3, digest.configuration_version);
    CHECK_FALSE(digest.is_leaving);
    CHECK(digest.is_store_unavailable);
    CHECK(digest.store_contact->first == ports::steady_time(90s));
    CHECK(digest.store_contact->last == ports::steady_time(98s));
    LONGS_EQUAL(900, digest.load.at("u1").unread_tokens);
    LONGS_EQUAL(30, digest.accounts.at("acme").free);
    LONGS_EQUAL(4, digest.accounts.at("acme").rate);
    const domain::suspect_part& suspect =
        digest.observations.suspect_parts.at(0);
    LONGS_EQUAL(0xdead, suspect.id.value);
    CHECK(suspect.id.kind == domain::suspect_kind::request);
    LONGS_EQUAL(18, suspect.ends.at(1).incarnation);
    CHECK(suspect.ends.at(1).at == ports::steady_time(98s));
    CHECK(suspect.ends.at(1).output_at == ports::steady_time(97500ms));
    CHECK(suspect.cleared_at == ports::steady_time(96s));
    CHECK(suspect.last_seen == ports::steady_time(99s));
    LONGS_EQUAL(1, suspect.trials);
    const std::vector<domain::named_rate_limit>& limits =
        digest.observations.rate_limits;
    CHECK(limits.at(0).per_second == 2.4);
    CHECK(limits.at(0).observed_at == ports::steady_time(95s));
    CHECK(limits.at(1).per_second == std::nullopt);
    CHECK(digest.cut_off_services == std::set<std::string>({"s1", "s2"}));
    const std::vector<domain::brittle_observation>& brittle =
        digest.observations.brittle;
    LONGS_EQUAL(31, brittle.at(0).incarnation);
    CHECK(brittle.at(0).max_rejections == 2);
    CHECK(brittle.at(0).observed_at == ports::steady_time(95s));
    CHECK(brittle.at(0).rejected_at == ports::steady_time(94s));
    CHECK(brittle.at(1).max_rejections == std::nullopt);
    CHECK(brittle.at(1).rejected_at == std::nullopt);
}

TEST(peer_table_group, a_digest_may_tell_of_no_answer_of_the_store)
{
    codecs::peer_digest digest = sample_digest();
    digest.store_contact.reset();
    const result<codecs::peer_digest> read =
        codecs::read_digest(codecs::write_digest(digest, now), now);
    CHECK(bool(read));
    CHECK_FALSE(read.value().store_contact.has_value());
}

TEST(peer_table_group, the_store_is_available_since_it_answered_any_router)
{
    domain::contact_record own;
    own.add(now);
    CHECK(peers.store_available_since(own, now) == now);
    codecs::peer_digest digest = sample_digest();
    digest.store_contact = {ports::steady_time(90s), ports::steady_time(99s)};
    peers.apply_digest(digest, now);
    CHECK(peers.store_available_since(own, now) == ports::steady_time(90s));
    CHECK(peers.store_available_since({}, now) == ports::steady_time(90s));
    CHECK(peers.store_available_since({}, now + 1s) == now + 1s);
}

TEST(peer_table_group, a_damaged_digest_is_rejected)
{
    const std::string complete = codecs::write_digest(sample_digest(), now);
    CHECK(rc::check(
        "a truncated digest with one random byte is rejected",
        [&complete, this]
        {
            std::string bytes = complete.substr(
                0, *rc::gen::inRange<std::size_t>(0, complete.size()));
            if (!bytes.empty())
            {
                bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
                    *rc::gen::arbitrary<char>();
            }
            RC_ASSERT(!codecs::read_digest(bytes, now));
        }));
}

TEST(peer_table_group, a_datagram_that_announces_a_huge_array_is_rejected)
{
    // An array whose length is a number of 8 bytes, as a damaged byte makes it.
    const std::string bytes = "\x9b"
                              "abcdefgh";
    CHECK_FALSE(codecs::read_digest(bytes, now));
    CHECK_FALSE(codecs::read_token_message(bytes));
}

TEST(peer_table_group, a_digest_with_a_negative_load_is_rejected)
{
    for (const domain::upstream_load& load :
         {domain::upstream_load{-1, 0}, domain::upstream_load{0, -1}})
    {
        codecs::peer_digest digest = sample_digest();
        digest.load["u1"] = load;
        CHECK_FALSE(
            codecs::read_digest(codecs::write_digest(digest, now), now));
    }
}

TEST(peer_table_group, the_sum_of_the_largest_loads_stays_in_range)
{
    constexpr std::int64_t largest = std::numeric_limits<std::int64_t>::max();
    for (const std::string peer : {"p1", "p2"})
    {
        codecs::peer_digest digest = sample_digest();
        digest.incarnation = peer;
        digest.load["u1"] = {largest, largest};
        peers.apply_digest(
            codecs::read_digest(codecs::write_digest(digest, now), now).value(),
            now);
    }
    const domain::upstream_load sum = peers.view(now).peer_load["u1"];
    CHECK(sum.requests > 0);
    CHECK(sum.unread_tokens > 0);
}

TEST(peer_table_group, only_a_peer_whose_store_responds_counts_as_in_touch)
{
    CHECK_FALSE(peers.view(now).can_peer_reach_store);
    receive_digest(1, true);
    CHECK_FALSE(peers.view(now).can_peer_reach_store);
    receive_digest(2, false);
    CHECK(peers.view(now).can_peer_reach_store);
    LONGS_EQUAL(30, peers.view(now).accounts["acme"].peers_free);
    now += 2s;
    CHECK_FALSE(peers.view(now).can_peer_reach_store);
}

TEST(peer_table_group, an_older_digest_is_dropped)
{
    receive_digest(2, false);
    receive_digest(1, true);
    CHECK(peers.view(now).can_peer_reach_store);
}

TEST(peer_table_group, the_paths_are_those_of_registered_peers_that_stay)
{
    receive_digest(1, false);
    CHECK(peers.view(now).peer_paths.empty());
    peers.set_members({{"b", "vb", "west", "10.0.0.2:1", "10.0.0.2:2"}}, now);
    const std::vector<drivers::peer_path> paths = peers.view(now).peer_paths;
    LONGS_EQUAL(1, paths.size());
    STRCMP_EQUAL("10.0.0.2:2", paths[0].caller_address.c_str());
    STRCMP_EQUAL("west", paths[0].data_centre.c_str());
    CHECK(paths[0].cut_off_services == std::set<std::string>({"s1", "s2"}));

    codecs::peer_digest leaving = sample_digest();
    leaving.sequence = 2;
    leaving.is_leaving = true;
    peers.apply_digest(leaving, now);
    CHECK(peers.view(now).peer_paths.empty());

    receive_digest(3, false);
    LONGS_EQUAL(1, peers.view(now).peer_paths.size());
    now += 2s;
    CHECK(peers.view(now).peer_paths.empty());
}

TEST(peer_table_group, an_overloaded_peer_gets_neither_callers_nor_requests)
{
    peers.set_members({{"b", "vb", "west", "10.0.0.2:1", "10.0.0.2:2"}}, now);
    codecs::peer_digest overloaded = sample_digest();
    overloaded.is_overloaded = true;
    const result<codecs::peer_digest> read =
        codecs::read_digest(codecs::write_digest(overloaded, now), now);
    CHECK(bool(read));
    peers.apply_digest(read.value(), now);
    CHECK(peers.view(now).peer_paths.empty());
    const std::vector<domain::entry_candidate> candidates =
        peers.entry_candidates(false, true, now);
    LONGS_EQUAL(2, candidates.size());
    CHECK(candidates[0].is_overloaded);
    CHECK(candidates[1].is_overloaded);
    LONGS_EQUAL(1, peers.live_peers(now).size());

    receive_digest(8, false);
    LONGS_EQUAL(1, peers.view(now).peer_paths.size());
    CHECK_FALSE(peers.entry_candidates(false, false, now)[1].is_overloaded);
}

/// Guards against a datagram that ends the process.
TEST(peer_table_group, an_object_with_as_many_members_is_no_digest)
{
    json object = json::object();
    for (int member = 0; member < 14; ++member)
    {
        object[std::to_string(member)] = true;
    }
    const std::vector<std::uint8_t> bytes = json::to_cbor(object);
    CHECK_FALSE(bool(
        codecs::read_digest(std::string(bytes.begin(), bytes.end()), now)));
}
