#include "libraries/domain/placement/upstream_board.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric::domain;
using namespace std::chrono_literals;

namespace
{

upstream_entry entry(const std::string& id, const std::string& centre = "east")
{
    upstream_entry made;
    made.id = id;
    made.service = "model";
    made.address = "10.0.0.1:80";
    made.data_centre = centre;
    made.slots = 4;
    return made;
}

const upstream_service service{"model", 64, engine_properties{4, 100'000, 1}};

prompt_description prompt(std::uint64_t subject)
{
    return {"m", 5'000, 50, {{1, 1'000}, {subject, 3'000}, {99, 1'000}}};
}

} // namespace

TEST_GROUP(upstream_board_group)
{
    upstream_board board{"east"};
    turmeric::ports::steady_time now{1h};

    placement choose(const prompt_description& shape,
                     std::set<std::string> tried = {})
    {
        placement_request request{"model", &shape, std::move(tried)};
        return std::get<placement>(board.choose(request, service, now));
    }

    placement_refusal refusal(std::set<std::string> tried = {})
    {
        placement_request request{"model", nullptr, std::move(tried)};
        return std::get<placement_refusal>(board.choose(request, service, now));
    }
};

TEST(upstream_board_group, a_leaving_or_unknown_upstream_is_never_chosen)
{
    CHECK(refusal() == placement_refusal::none_known);
    upstream_entry leaving = entry("a");
    leaving.state = upstream_state::leaving;
    board.set_upstreams({leaving});
    CHECK(refusal() == placement_refusal::none_known);
}

TEST(upstream_board_group, what_leaves_is_reported_once)
{
    board.set_upstreams({entry("a"), entry("b")});
    upstream_entry leaving = entry("a");
    leaving.state = upstream_state::leaving;
    LONGS_EQUAL(1, board.set_upstreams({leaving, entry("b")}).size());
    LONGS_EQUAL(0, board.set_upstreams({leaving, entry("b")}).size());
    LONGS_EQUAL(1, board.set_upstreams({leaving}).size());
}

TEST(upstream_board_group, a_tried_upstream_is_not_tried_again)
{
    board.set_upstreams({entry("a")});
    CHECK(refusal({"a"}) == placement_refusal::none_left);
}

TEST(upstream_board_group, prompts_that_share_parts_go_to_one_upstream)
{
    board.set_upstreams({entry("a"), entry("b"), entry("c")});
    const prompt_description shape = prompt(7);
    const placement first = choose(shape);
    board.note_sent(first, &shape, now);
    STRCMP_EQUAL(first.upstream.id.c_str(), choose(shape).upstream.id.c_str());
    LONGS_EQUAL(1, choose(shape).tokens_to_read);
}

TEST(upstream_board_group, peers_load_keeps_requests_away)
{
    board.set_upstreams({entry("a"), entry("b")});
    const prompt_description shape = prompt(7);
    const placement first = choose(shape);
    board.set_peer_load({{first.upstream.id, {3, 60'000}}}, 2);
    CHECK(first.upstream.id != choose(shape).upstream.id);
    board.set_peer_load({{"a", {4, 0}}, {"b", {4, 0}}}, 2);
    CHECK(refusal() == placement_refusal::none_free);
}

TEST(upstream_board_group, an_upstream_that_fails_in_a_row_rests)
{
    board.set_upstreams({entry("a"), entry("b")});
    const prompt_description shape = prompt(7);
    const std::string home = choose(shape).upstream.id;
    CHECK_FALSE(board.note_outcome(home, false, now));
    CHECK_FALSE(board.note_outcome(home, false, now));
    CHECK(board.note_outcome(home, false, now));
    CHECK(home != choose(shape).upstream.id);
    now += 10s;
    board.note_outcome(home, true, now);
    CHECK(board.is_ready(home));
}

TEST(upstream_board_group, one_that_rests_is_better_than_none)
{
    board.set_upstreams({entry("a")});
    for (int failures = 0; failures < 3; ++failures)
    {
        board.note_outcome("a", false, now);
    }
    STRCMP_EQUAL("a", choose(prompt(7)).upstream.id.c_str());
}

TEST(upstream_board_group, a_restart_under_the_same_id_knows_nothing)
{
    upstream_entry first = entry("a");
    board.set_upstreams({first});
    const prompt_description shape = prompt(7);
    const placement sent = choose(shape);
    board.note_sent(sent, &shape, now);
    LONGS_EQUAL(1, board.own_load().size());
    first.born = 5;
    board.set_upstreams({first});
    LONGS_EQUAL(0, board.own_load().size());
}
