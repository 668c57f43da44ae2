#include "libraries/domain/placement/upstream_load_balancer.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric::domain;
using namespace std::chrono_literals;

namespace
{

upstream_entry entry(const std::string& id,
                     const std::string& data_centre = "east")
{
    upstream_entry made;
    made.id = id;
    made.service = "model";
    made.address = "10.0.0.1:80";
    made.data_centre = data_centre;
    made.slots = 4;
    return made;
}

const upstream_service service{"model", 64, engine_properties{4, 100'000, 1}};

prompt_description prompt(std::uint64_t subject)
{
    return {"m", 5'000, 50, {{1, 1'000}, {subject, 3'000}, {99, 1'000}}};
}

} // namespace

TEST_GROUP(upstream_load_balancer_group)
{
    upstream_load_balancer balancer{"east"};
    turmeric::ports::steady_time now{1h};

    placement choose(const prompt_description& description,
                     std::set<std::string> tried = {})
    {
        placement_request request{"model", &description, std::move(tried)};
        return std::get<placement>(balancer.choose(request, service, now));
    }

    placement_refusal refusal(std::set<std::string> tried = {})
    {
        placement_request request{"model", nullptr, std::move(tried)};
        return std::get<placement_refusal>(
            balancer.choose(request, service, now));
    }
};

TEST(upstream_load_balancer_group, never_chooses_a_leaving_or_unknown_upstream)
{
    CHECK(refusal() == placement_refusal::none_known);
    upstream_entry leaving = entry("a");
    leaving.state = upstream_state::leaving;
    balancer.set_upstreams({leaving});
    CHECK(refusal() == placement_refusal::none_known);
}

TEST(upstream_load_balancer_group,
     reports_each_removed_or_leaving_upstream_once)
{
    balancer.set_upstreams({entry("a"), entry("b")});
    upstream_entry leaving = entry("a");
    leaving.state = upstream_state::leaving;
    LONGS_EQUAL(1, balancer.set_upstreams({leaving, entry("b")}).size());
    LONGS_EQUAL(0, balancer.set_upstreams({leaving, entry("b")}).size());
    LONGS_EQUAL(1, balancer.set_upstreams({leaving}).size());
}

TEST(upstream_load_balancer_group, does_not_choose_an_upstream_that_was_tried)
{
    balancer.set_upstreams({entry("a")});
    CHECK(refusal({"a"}) == placement_refusal::none_left);
}

TEST(upstream_load_balancer_group,
     sends_prompts_with_shared_parts_to_one_upstream)
{
    balancer.set_upstreams({entry("a"), entry("b"), entry("c")});
    const prompt_description description = prompt(7);
    const placement first = choose(description);
    balancer.note_sent(first, &description, now);
    STRCMP_EQUAL(first.upstream.id.c_str(),
                 choose(description).upstream.id.c_str());
    LONGS_EQUAL(1, choose(description).tokens_to_read);
}

TEST(upstream_load_balancer_group, avoids_upstreams_that_peers_have_loaded)
{
    balancer.set_upstreams({entry("a"), entry("b")});
    const prompt_description description = prompt(7);
    const placement first = choose(description);
    balancer.set_peer_load({{first.upstream.id, {3, 60'000}}}, 2);
    CHECK(first.upstream.id != choose(description).upstream.id);
    balancer.set_peer_load({{"a", {4, 0}}, {"b", {4, 0}}}, 2);
    CHECK(refusal() == placement_refusal::none_free);
}

TEST(upstream_load_balancer_group,
     ejects_an_upstream_after_consecutive_failures)
{
    balancer.set_upstreams({entry("a"), entry("b")});
    const prompt_description description = prompt(7);
    const std::string preferred = choose(description).upstream.id;
    CHECK_FALSE(balancer.note_outcome(preferred, false, now));
    CHECK_FALSE(balancer.note_outcome(preferred, false, now));
    CHECK(balancer.note_outcome(preferred, false, now));
    CHECK(preferred != choose(description).upstream.id);
    now += 10s;
    balancer.note_outcome(preferred, true, now);
    CHECK(balancer.is_ready(preferred));
}

TEST(upstream_load_balancer_group,
     chooses_an_ejected_upstream_if_there_is_no_other)
{
    balancer.set_upstreams({entry("a")});
    for (int failures = 0; failures < 3; ++failures)
    {
        balancer.note_outcome("a", false, now);
    }
    STRCMP_EQUAL("a", choose(prompt(7)).upstream.id.c_str());
}

TEST(upstream_load_balancer_group,
     forgets_the_load_of_an_upstream_restarted_with_the_same_id)
{
    upstream_entry first = entry("a");
    balancer.set_upstreams({first});
    const prompt_description description = prompt(7);
    const placement sent = choose(description);
    balancer.note_sent(sent, &description, now);
    LONGS_EQUAL(1, balancer.own_load().size());
    first.born = 5;
    balancer.set_upstreams({first});
    LONGS_EQUAL(0, balancer.own_load().size());
}
