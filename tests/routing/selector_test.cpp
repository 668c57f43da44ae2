#include "libraries/domain/digest.hpp"
#include "libraries/domain/routing/upstream_selector.hpp"

#include <map>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::domain;
using namespace std::chrono_literals;

namespace
{

capacity_plan make_plan(std::size_t upstreams, std::int64_t slots)
{
    capacity_plan plan{1, {}};
    for (std::size_t index = 0; index < upstreams; ++index)
    {
        upstream_declaration declared;
        declared.name = "upstream" + std::to_string(index);
        declared.address = declared.name + ":80";
        declared.data_centre = index % 2 == 0 ? "north" : "south";
        declared.versions = {"v1"};
        declared.capacity = static_cast<std::int32_t>(slots);
        plan.shares.push_back({declared, slots});
    }
    return plan;
}

choice_request make_request(std::optional<std::uint64_t> prefix)
{
    return {"route", "v1", prefix, "north", {}};
}

} // namespace

TEST_GROUP(selector)
{
    upstream_selector subject{selector_limits{}};
    ports::steady_time now{1h};

    upstream_choice take(std::optional<std::uint64_t> prefix)
    {
        result<upstream_choice> chosen =
            subject.choose(make_request(prefix), now);
        CHECK_TRUE(chosen.has_value());
        return chosen.value();
    }

    void fail_at(const std::string& upstream, int times)
    {
        for (int time = 0; time < times; ++time)
        {
            choice_request request = make_request(std::nullopt);
            result<upstream_choice> chosen = subject.choose(request, now);
            while (chosen.value().upstream != upstream)
            {
                subject.finish(chosen.value(), call_result::succeeded, now);
                chosen = subject.choose(request, now);
            }
            subject.finish(chosen.value(), call_result::failed, now);
        }
    }
};

TEST(selector, sends_a_prefix_to_one_upstream_while_it_has_free_slots)
{
    subject.update(make_plan(9, 4));
    std::string preferred = take(42).upstream;
    for (int request = 1; request < 4; ++request)
    {
        STRCMP_EQUAL(preferred.c_str(), take(42).upstream.c_str());
    }
    CHECK(take(42).upstream != preferred);
}

TEST(selector, sends_no_requests_to_a_leaving_upstream)
{
    subject.update(make_plan(2, 100));
    subject.mark_leaving("upstream0");
    for (std::uint64_t prefix = 0; prefix < 50; ++prefix)
    {
        STRCMP_EQUAL("upstream1", take(prefix).upstream.c_str());
    }
    // Only a declaration with another address makes it available again.
    subject.update(make_plan(2, 100));
    STRCMP_EQUAL("upstream1", take(std::nullopt).upstream.c_str());
    capacity_plan replaced = make_plan(2, 100);
    replaced.shares[0].upstream.address = "elsewhere:80";
    subject.update(replaced);
    STRCMP_EQUAL("upstream0", take(std::nullopt).upstream.c_str());
}

TEST(selector, reports_why_no_upstream_was_chosen)
{
    subject.update(make_plan(1, 1));
    take(1);
    result<upstream_choice> full = subject.choose(make_request(1), now);
    CHECK(full.failure().code == result_code::upstream_overloaded);
    CHECK(full.failure().effect == outcome::not_run);
    choice_request excluded{"route", "v1", 1, "north", {"upstream0"}};
    CHECK(subject.choose(excluded, now).failure().code ==
          result_code::no_upstream);
    choice_request unknown{"route", "v2", 1, "north", {}};
    CHECK(subject.choose(unknown, now).failure().code ==
          result_code::no_upstream);
}

TEST(selector, prefers_its_data_centre_among_equally_used_upstreams)
{
    subject.update(make_plan(4, 2));
    std::set<std::string> first{take(std::nullopt).upstream,
                                take(std::nullopt).upstream};
    CHECK(first == std::set<std::string>({"upstream0", "upstream2"}));
    std::set<std::string> then{take(std::nullopt).upstream,
                               take(std::nullopt).upstream};
    CHECK(then == std::set<std::string>({"upstream1", "upstream3"}));
}

TEST(selector, avoids_an_upstream_that_reports_waiting_requests)
{
    subject.update(make_plan(2, 100));
    std::string preferred = take(7).upstream;
    subject.update_load({preferred, 90, 9, now});
    CHECK(take(7).upstream != preferred);
    now += 1min;
    STRCMP_EQUAL(preferred.c_str(), take(7).upstream.c_str());
}

TEST(selector, ejects_an_upstream_and_returns_it_gradually)
{
    subject.update(make_plan(2, 16));
    fail_at("upstream0", 3);
    for (int request = 0; request < 16; ++request)
    {
        subject.finish(take(std::nullopt), call_result::succeeded, now);
        STRCMP_EQUAL("upstream1", take(std::nullopt).upstream.c_str());
    }
    // After the ejection one request is sent to it, then more with each
    // success.
    now += 3s;
    upstream_choice probe = take(std::nullopt);
    STRCMP_EQUAL("upstream0", probe.upstream.c_str());
    CHECK_FALSE(subject.choose(make_request(1), now).has_value());
    subject.finish(probe, call_result::succeeded, now);
    take(1);
    take(1);
    LONGS_EQUAL(2, subject.held_at("upstream0"));
    CHECK_FALSE(subject.choose(make_request(1), now).has_value());
}

TEST(selector, ejects_longer_if_the_recovery_fails)
{
    health_limits limits;
    upstream_health health(limits);
    for (int failure = 0; failure < limits.failures_to_eject; ++failure)
    {
        health.record(call_result::failed, now);
    }
    ports::steady_time ejection_end = now + limits.first_ejection;
    CHECK_FALSE(health.is_ejected(ejection_end));
    health.record(call_result::failed, ejection_end);
    CHECK(health.is_ejected(ejection_end + limits.first_ejection));
    LONGS_EQUAL(0, health.allowed(8, ejection_end + limits.first_ejection));
    LONGS_EQUAL(1, health.allowed(8, ejection_end + 2 * limits.first_ejection));
}

TEST(selector, acknowledges_an_epoch_once_it_holds_no_more_than_its_shares)
{
    subject.update(make_plan(1, 3));
    LONGS_EQUAL(1, subject.acknowledge());
    upstream_choice first = take(1);
    take(1);
    capacity_plan less = make_plan(1, 1);
    less.epoch = 2;
    subject.update(less);
    LONGS_EQUAL(1, subject.acknowledge());
    subject.finish(first, call_result::succeeded, now);
    LONGS_EQUAL(2, subject.acknowledge());
}
