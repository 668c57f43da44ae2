#include <rapidcheck.h>

#include "libraries/domain/crashing_parts/crashing_part_detector.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::domain;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t shared_id = 0xa;
constexpr std::uint64_t bad_id = 0xb;

std::vector<suspect_id> prompt_of(const std::vector<std::uint64_t>& ids)
{
    prompt_description prompt;
    for (const std::uint64_t id : ids)
    {
        prompt.parts.push_back({id, 100});
    }
    return list_shared_parts(prompt);
}

bool is_blocked(const crashing_part_detector& detector,
                const std::vector<suspect_id>& ids)
{
    return detector.find_blocked(ids).has_value();
}

} // namespace

TEST_GROUP(crashing_part_detector_group)
{
    crashing_part_detector detector;
    ports::steady_time now{100s};
    std::uint64_t last_id = 1'000;
    std::uint64_t last_incarnation = 0;

    /// A prompt with the bad part and a part of its own.
    std::vector<suspect_id> bad_prompt()
    {
        return prompt_of({shared_id, bad_id, ++last_id});
    }

    void end_upstream(const std::vector<suspect_id>& prompt)
    {
        detector.record_end(prompt, ++last_incarnation, now);
    }

    /// Lets time pass in which a response to another prompt begins.
    void pass(std::chrono::milliseconds time)
    {
        pass(time, detector);
    }

    void pass(std::chrono::milliseconds time, crashing_part_detector & router)
    {
        now += time;
        router.record_output(now - 1ms);
    }

    /// Lets a response to a prompt with the shared part begin and go on.
    void clear_shared_part()
    {
        detector.record_success(prompt_of({shared_id, ++last_id}), now, now);
    }

    void block_bad_part()
    {
        for (int end = 0; end < 3; ++end)
        {
            end_upstream(bad_prompt());
            pass(1s);
            clear_shared_part();
        }
        CHECK(is_blocked(detector, bad_prompt()));
    }
};

TEST(crashing_part_detector_group,
     only_the_part_that_sound_requests_lack_blocks)
{
    block_bad_part();
    CHECK_FALSE(is_blocked(detector, prompt_of({shared_id, ++last_id})));
    LONGS_EQUAL(1, detector.blocked_count(suspect_kind::prompt_part));
}

TEST(crashing_part_detector_group, the_last_part_is_no_suspect)
{
    for (int end = 0; end < 5; ++end)
    {
        end_upstream(prompt_of({bad_id}));
        pass(1s);
    }
    CHECK(detector.report(now).empty());
}

TEST(crashing_part_detector_group, ends_at_one_time_count_once)
{
    for (int end = 0; end < 20; ++end)
    {
        end_upstream(bad_prompt());
        pass(10ms);
    }
    CHECK_FALSE(is_blocked(detector, bad_prompt()));
}

TEST(crashing_part_detector_group,
     ends_without_a_response_in_between_count_once)
{
    // As when all upstreams of a service end one after the other.
    pass(1s);
    for (int end = 0; end < 5; ++end)
    {
        end_upstream(bad_prompt());
        now += 1s;
    }
    CHECK_FALSE(is_blocked(detector, bad_prompt()));
}

TEST(crashing_part_detector_group, a_router_clears_what_only_a_peer_suspects)
{
    // The peer was cut off from routers that served prompts with the part.
    crashing_part_detector peer;
    for (int end = 0; end < 3; ++end)
    {
        pass(1s, peer);
        peer.record_end(bad_prompt(), ++last_incarnation, now);
        detector.record_success(bad_prompt(), now + 1ms, now + 1ms);
    }
    CHECK(is_blocked(peer, bad_prompt()));
    now += 1s;
    detector.merge(peer.report(now), now);
    CHECK_FALSE(is_blocked(detector, bad_prompt()));
    peer.merge(detector.report(now), now);
    CHECK_FALSE(is_blocked(peer, bad_prompt()));
}

TEST(crashing_part_detector_group, ends_of_one_incarnation_count_once)
{
    for (int end = 0; end < 5; ++end)
    {
        detector.record_end(bad_prompt(), 1, now);
        pass(1s);
    }
    CHECK_FALSE(is_blocked(detector, bad_prompt()));
}

TEST(crashing_part_detector_group, a_response_that_goes_on_clears_earlier_ends)
{
    end_upstream(bad_prompt());
    pass(1s);
    end_upstream(bad_prompt());
    detector.record_success(bad_prompt(), now + 500ms, now + 1s);
    pass(2s);
    end_upstream(bad_prompt());
    CHECK_FALSE(is_blocked(detector, bad_prompt()));
}

TEST(crashing_part_detector_group, a_response_that_began_earlier_clears_nothing)
{
    end_upstream(bad_prompt());
    pass(1s);
    end_upstream(bad_prompt());
    pass(1s);
    detector.record_success(bad_prompt(), now - 3s, now);
    end_upstream(bad_prompt());
    CHECK(is_blocked(detector, bad_prompt()));
}

TEST(crashing_part_detector_group,
     the_first_end_permits_a_retry_the_second_none)
{
    end_upstream(bad_prompt());
    CHECK(detector.may_retry(bad_prompt()));
    pass(1s);
    end_upstream(bad_prompt());
    CHECK_FALSE(detector.may_retry(bad_prompt()));
}

TEST(crashing_part_detector_group, ends_seen_by_different_routers_add_up)
{
    crashing_part_detector peers[2];
    for (crashing_part_detector& peer : peers)
    {
        pass(1s, peer);
        peer.record_end(bad_prompt(), ++last_incarnation, now);
    }
    pass(1s);
    end_upstream(bad_prompt());
    for (crashing_part_detector& peer : peers)
    {
        detector.merge(peer.report(now), now);
        detector.merge(peer.report(now), now);
    }
    CHECK(is_blocked(detector, bad_prompt()));
}

TEST(crashing_part_detector_group, a_clearance_reaches_peers)
{
    crashing_part_detector peer;
    end_upstream(prompt_of({shared_id, ++last_id}));
    peer.merge(detector.report(now), now);
    pass(1s);
    clear_shared_part();
    peer.merge(detector.report(now), now);
    for (int end = 0; end < 2; ++end)
    {
        pass(1s, peer);
        peer.record_end(prompt_of({shared_id, ++last_id}), ++last_incarnation,
                        now);
    }
    CHECK_FALSE(is_blocked(peer, prompt_of({shared_id, ++last_id})));
}

TEST(crashing_part_detector_group, a_block_lasts_while_requests_come)
{
    block_bad_part();
    for (int minute = 0; minute < 300; ++minute)
    {
        now += 1min;
        detector.set_routers(router_ranking("a", {"b", "c"}));
        detector.forget_unseen(now);
        CHECK(detector.judge(bad_prompt(), now) != crash_verdict::allowed);
    }
    now += 61min;
    detector.forget_unseen(now);
    CHECK(detector.judge(bad_prompt(), now) == crash_verdict::allowed);
}

TEST(crashing_part_detector_group, the_fleet_makes_two_trials_in_all)
{
    block_bad_part();
    const std::vector<std::string> names = {"a", "b", "c", "d", "e", "f"};
    std::vector<crashing_part_detector> routers(names.size());
    for (std::size_t one = 0; one < names.size(); ++one)
    {
        std::set<std::string> peers(names.begin(), names.end());
        peers.erase(names[one]);
        routers[one].set_routers(router_ranking(names[one], peers));
        routers[one].merge(detector.report(now), now);
    }
    int trials = 0;
    for (int minute = 0; minute < 120; ++minute)
    {
        now += 1min;
        for (crashing_part_detector& router : routers)
        {
            const std::vector<suspect_id> prompt = bad_prompt();
            if (router.judge(prompt, now) == crash_verdict::trial)
            {
                ++trials;
                router.record_end(prompt, ++last_incarnation, now);
            }
            for (crashing_part_detector& peer : routers)
            {
                peer.merge(router.report(now), now);
            }
        }
    }
    LONGS_EQUAL(2, trials);
}

TEST(crashing_part_detector_group, a_trial_that_goes_well_lifts_the_block)
{
    block_bad_part();
    now += 3min;
    const std::vector<suspect_id> prompt = bad_prompt();
    CHECK(detector.judge(prompt, now) == crash_verdict::trial);
    CHECK(detector.judge(bad_prompt(), now) == crash_verdict::blocked);
    detector.record_success(prompt, now + 1s, now + 2s);
    CHECK(detector.judge(bad_prompt(), now + 2s) == crash_verdict::allowed);
}

TEST(crashing_part_detector_group, parts_that_callers_name_use_bounded_memory)
{
    constexpr std::size_t max_reported = 32;
    block_bad_part();
    std::vector<std::uint64_t> ids(5'000);
    for (int end = 0; end < 20; ++end)
    {
        for (std::uint64_t& id : ids)
        {
            id = ++last_id;
        }
        end_upstream(prompt_of(ids));
        pass(1s);
        CHECK_COMPARE(detector.report(now).size(), <=, max_reported);
    }
    CHECK(is_blocked(detector, bad_prompt()));
}

TEST(crashing_part_detector_group, the_order_of_reports_does_not_matter)
{
    CHECK(rc::check(
        "routers that merge the same reports block the same parts",
        [this]
        {
            const std::vector<int> seconds =
                *rc::gen::container<std::vector<int>>(6,
                                                      rc::gen::inRange(0, 8));
            std::vector<crashing_part_detector> seen(seconds.size());
            for (std::size_t one = 0; one < seconds.size(); ++one)
            {
                const ports::steady_time at =
                    now + std::chrono::seconds(seconds[one]);
                seen[one].record_output(at - 1ms);
                seen[one].record_end(prompt_of({bad_id, ++last_id}), one, at);
            }
            crashing_part_detector forwards;
            crashing_part_detector backwards;
            const ports::steady_time end = now + 10s;
            for (std::size_t one = 0; one < seen.size(); ++one)
            {
                forwards.merge(seen[one].report(end), end);
                backwards.merge(seen[seen.size() - 1 - one].report(end), end);
            }
            RC_ASSERT(is_blocked(forwards, bad_prompt()) ==
                      is_blocked(backwards, bad_prompt()));
        }));
}
