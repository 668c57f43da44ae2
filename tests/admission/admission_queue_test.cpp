#include <rapidcheck.h>

#include "libraries/domain/admission/admission_queue.hpp"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::domain;
using namespace std::chrono_literals;

namespace
{

admission_ticket make_ticket(std::uint64_t id, const std::string& account)
{
    admission_ticket ticket;
    ticket.id = id;
    ticket.account = account;
    ticket.lane = "v1";
    ticket.bytes = 10;
    return ticket;
}

void queue(admission_queue& subject, const admission_ticket& ticket,
           ports::steady_time now)
{
    CHECK_TRUE(subject.offer(ticket, false, now).has_value());
}

/// A simple model of the tickets in the queue, checked against its limits.
struct expected_usage
{
    std::map<std::string, std::size_t> requests;
    std::map<std::string, std::size_t> bytes;
    std::size_t total_requests = 0;
    std::size_t total_bytes = 0;

    void add(const admission_ticket& ticket, int sign)
    {
        std::size_t one = sign > 0 ? 1 : static_cast<std::size_t>(-1);
        requests[ticket.account] += one;
        total_requests += one;
        bytes[ticket.account] += one * ticket.bytes;
        total_bytes += one * ticket.bytes;
    }

    void check(const admission_limits& limits) const
    {
        for (const auto& [account, count] : requests)
        {
            RC_ASSERT(count <= limits.account_requests);
            RC_ASSERT(bytes.at(account) <= limits.account_bytes);
        }
        RC_ASSERT(total_requests <= limits.total_requests);
        RC_ASSERT(total_bytes <= limits.total_bytes);
    }
};

} // namespace

TEST_GROUP(admission)
{
    ports::steady_time now{1h};
};

TEST(admission, stays_within_limits_and_loses_no_ticket)
{
    CHECK(rc::check(
        "count, bytes and time stay within limits; each ticket leaves once",
        []
        {
            admission_limits limits{4, 60, 9, 120, 1000ms};
            admission_queue subject(limits);
            expected_usage usage;
            std::map<std::uint64_t, ports::steady_time> waiting;
            ports::steady_time now{1h};
            std::uint64_t steps = *rc::gen::inRange<std::uint64_t>(1, 200);
            for (std::uint64_t id = 0; id < steps; ++id)
            {
                std::string account(1, *rc::gen::inRange('a', 'f'));
                admission_ticket ticket = make_ticket(id, account);
                ticket.bytes = *rc::gen::inRange<std::size_t>(0, 40);
                ticket.cost = *rc::gen::inRange<std::int64_t>(1, 50);
                result<admission> offered = subject.offer(ticket, false, now);
                if (offered)
                {
                    RC_ASSERT(offered.value() == admission::queued);
                    usage.add(ticket, 1);
                    waiting[id] = now;
                }
                else
                {
                    RC_ASSERT(offered.failure().effect == outcome::not_run);
                }
                usage.check(limits);
                now += std::chrono::milliseconds(*rc::gen::inRange(0, 300));
                for (const refused_ticket& refused : subject.expire(now))
                {
                    RC_ASSERT(refused.failure.effect == outcome::not_run);
                    RC_ASSERT(waiting.erase(refused.ticket.id) == 1U);
                    usage.add(refused.ticket, -1);
                }
                for (const auto& [each, since] : waiting)
                {
                    RC_ASSERT(now - since < limits.max_wait);
                }
                if (*rc::gen::arbitrary<bool>())
                {
                    std::optional<admission_ticket> taken =
                        subject.next("v1", now);
                    RC_ASSERT(taken.has_value() == !waiting.empty());
                    if (taken)
                    {
                        RC_ASSERT(waiting.erase(taken->id) == 1U);
                        usage.add(*taken, -1);
                    }
                }
                RC_ASSERT(subject.size() == waiting.size());
                RC_ASSERT(subject.bytes() == usage.total_bytes);
            }
        }));
}

TEST(admission, serves_waiting_accounts_in_proportion_to_weight)
{
    CHECK(rc::check(
        "served work per weight differs by at most one ticket of each account",
        []
        {
            constexpr std::int64_t largest = 100;
            admission_queue subject(
                {1'000'000, 1 << 30, 1'000'000, 1 << 30, 1h});
            std::vector<std::int32_t> weights =
                *rc::gen::container<std::vector<std::int32_t>>(
                    3, rc::gen::inRange(1, 6));
            std::vector<double> served(weights.size(), 0);
            std::uint64_t id = 0;
            for (int round = 0; round < 100; ++round)
            {
                // Every account always has more work waiting than is served.
                for (std::size_t index = 0; index < weights.size(); ++index)
                {
                    admission_ticket ticket =
                        make_ticket(id++, std::to_string(index));
                    ticket.weight = weights[index];
                    ticket.cost =
                        *rc::gen::inRange<std::int64_t>(1, largest + 1);
                    queue(subject, ticket, ports::steady_time{});
                }
                std::optional<admission_ticket> taken =
                    subject.next("v1", ports::steady_time{});
                std::size_t index = std::stoul(taken->account);
                served[index] +=
                    static_cast<double>(taken->cost) / taken->weight;
                auto [min_served, max_served] =
                    std::minmax_element(served.begin(), served.end());
                RC_ASSERT(*max_served - *min_served <= 2.0 * largest);
            }
        }));
}

TEST(admission, admits_immediately_only_if_no_ticket_of_the_lane_waits)
{
    admission_queue subject{admission_limits{}};
    CHECK(subject.offer(make_ticket(1, "a"), true, now).value() ==
          admission::admitted);
    CHECK(subject.offer(make_ticket(2, "a"), false, now).value() ==
          admission::queued);
    CHECK(subject.offer(make_ticket(3, "b"), true, now).value() ==
          admission::queued);
    admission_ticket other_lane = make_ticket(4, "a");
    other_lane.lane = "v2";
    CHECK(subject.offer(other_lane, true, now).value() == admission::admitted);
}

TEST(admission, serves_the_smallest_priority_number_first)
{
    admission_queue subject{admission_limits{}};
    admission_ticket late = make_ticket(1, "a");
    late.priority = 5;
    queue(subject, late, now);
    queue(subject, make_ticket(2, "a"), now);
    LONGS_EQUAL(2, subject.next("v1", now)->id);
    LONGS_EQUAL(1, subject.next("v1", now)->id);
}

TEST(admission, reports_the_reason_for_a_refusal)
{
    admission_queue subject{{1, 1 << 20, 8, 1 << 20, 1000ms}};
    admission_ticket urgent = make_ticket(1, "a");
    urgent.deadline = now + 10ms;
    queue(subject, urgent, now);
    result<admission> full = subject.offer(make_ticket(2, "a"), false, now);
    CHECK(full.failure().code == result_code::queue_full);
    STRCMP_EQUAL("account_requests", full.failure().field.c_str());
    CHECK(subject.expire(now + 10ms).front().failure.code ==
          result_code::deadline_exceeded);
    CHECK(subject.offer(urgent, true, now + 1s).failure().code ==
          result_code::deadline_exceeded);
    queue(subject, make_ticket(3, "a"), now);
    CHECK(subject.expire(now + 1s).front().failure.code ==
          result_code::queue_timeout);
    queue(subject, make_ticket(4, "a"), now);
    CHECK_TRUE(subject.cancel(4));
    CHECK_FALSE(subject.cancel(4));
    LONGS_EQUAL(0, subject.bytes());
}
