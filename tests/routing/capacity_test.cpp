// Checks that all routers together never hold more slots at an upstream than
// its capacity, although each router learns late and in any order of epochs,
// acknowledgements and crashes.

#include <rapidcheck.h>

#include "libraries/domain/routing/share_table.hpp"
#include "libraries/domain/routing/upstream_selector.hpp"

#include <algorithm>
#include <memory>
#include <numeric>

#include <CppUTest/TestHarness.h>

namespace
{

using namespace turmeric;
using namespace turmeric::domain;

struct router
{
    explicit router(const std::string& name)
        : table(name)
        , selector(selector_limits{})
    {
    }

    share_table table;
    upstream_selector selector;
    std::size_t record = 0;
    epoch_acknowledgements acknowledged;
    std::vector<upstream_choice> held;
    bool has_crashed = false;
};

/// Routers that share upstreams; each has its own, possibly outdated state.
class fleet
{
public:
    fleet(std::size_t routers, const std::vector<std::int32_t>& capacities)
    {
        for (std::size_t index = 0; index < routers; ++index)
        {
            m_names.push_back("router" + std::to_string(index));
            m_routers.push_back(std::make_unique<router>(m_names.back()));
        }
        for (std::size_t index = 0; index < capacities.size(); ++index)
        {
            upstream_declaration upstream;
            upstream.name = "upstream" + std::to_string(index);
            upstream.address = upstream.name + ":80";
            upstream.versions = {"v1"};
            upstream.capacity = capacities[index];
            m_upstreams.push_back(upstream);
        }
        epoch_record first;
        first.revision = 1;
        first.epochs.push_back({1, m_names});
        m_records.push_back(first);
    }

    /// Performs the action that `random_number` selects on a router that it
    /// selects.
    void step(std::uint32_t random_number)
    {
        using action = void (fleet::*)(router&, std::uint32_t);
        constexpr std::array<action, 10> actions{
            &fleet::dispatch,
            &fleet::dispatch,
            &fleet::dispatch,
            &fleet::finish,
            &fleet::receive_record,
            &fleet::receive_acknowledgement,
            &fleet::receive_acknowledgement,
            &fleet::change_epoch,
            &fleet::prune,
            &fleet::crash,
        };
        action chosen = actions[random_number % actions.size()];
        std::uint32_t rest = random_number / actions.size();
        router& subject = *m_routers[rest % m_routers.size()];
        (this->*chosen)(subject, rest / m_routers.size());
    }

    /// Lets every running router finish its requests and receive the newest
    /// record and all acknowledgements.
    void settle()
    {
        for (int round = 0; round < 3; ++round)
        {
            for (const std::unique_ptr<router>& each : m_routers)
            {
                while (!each->held.empty())
                {
                    finish(*each, 0);
                }
                receive_record(*each, 0);
            }
            for (const std::unique_ptr<router>& each : m_routers)
            {
                for (std::uint32_t other = 0; other < m_routers.size(); ++other)
                {
                    receive_acknowledgement(*each, other);
                }
            }
        }
    }

    [[nodiscard]] bool is_within_capacity() const
    {
        return std::all_of(m_upstreams.begin(), m_upstreams.end(),
                           [this](const upstream_declaration& upstream)
                           { return held(upstream) <= upstream.capacity; });
    }

    [[nodiscard]] std::int64_t total_share() const
    {
        std::int64_t sum = 0;
        for (const std::unique_ptr<router>& each : m_routers)
        {
            sum += each->selector.total_share();
        }
        return sum;
    }

    [[nodiscard]] std::int64_t total_capacity() const
    {
        std::int64_t sum = 0;
        for (const upstream_declaration& upstream : m_upstreams)
        {
            sum += upstream.capacity;
        }
        return sum;
    }

private:
    [[nodiscard]] std::int64_t held(const upstream_declaration& upstream) const
    {
        std::int64_t sum = 0;
        for (const std::unique_ptr<router>& each : m_routers)
        {
            sum += std::count_if(each->held.begin(), each->held.end(),
                                 [&upstream](const upstream_choice& choice)
                                 { return choice.upstream == upstream.name; });
        }
        return sum;
    }

    void dispatch(router& subject, std::uint32_t random_number)
    {
        if (subject.has_crashed)
        {
            return;
        }
        choice_request request{"route", "v1", random_number, "", {}};
        result<upstream_choice> choice =
            subject.selector.choose(request, ports::steady_time{});
        if (choice)
        {
            subject.held.push_back(choice.value());
        }
    }

    void finish(router& subject, std::uint32_t random_number)
    {
        if (subject.held.empty())
        {
            return;
        }
        auto ended = subject.held.begin() +
                     static_cast<long>(random_number % subject.held.size());
        subject.selector.finish(*ended, call_result::succeeded,
                                ports::steady_time{});
        subject.held.erase(ended);
    }

    void apply(router& subject)
    {
        subject.table.update(m_records[subject.record], subject.acknowledged);
        subject.selector.update(subject.table.plan(m_upstreams));
    }

    void receive_record(router& subject, std::uint32_t random_number)
    {
        if (subject.has_crashed)
        {
            return;
        }
        std::size_t behind =
            random_number % (m_records.size() - subject.record);
        subject.record = m_records.size() - 1 - behind;
        apply(subject);
    }

    void receive_acknowledgement(router& subject, std::uint32_t random_number)
    {
        std::size_t other = random_number % m_routers.size();
        if (subject.has_crashed || m_routers[other]->has_crashed)
        {
            return;
        }
        epoch_number& acknowledged_epoch =
            m_acknowledged_epochs[m_names[other]];
        acknowledged_epoch = std::max(acknowledged_epoch,
                                      m_routers[other]->selector.acknowledge());
        subject.acknowledged[m_names[other]] = acknowledged_epoch;
        apply(subject);
    }

    void change_epoch(router& subject, std::uint32_t)
    {
        epoch_record next = m_records.back();
        std::vector<std::string> routers = next.epochs.back().routers;
        std::string name = name_of(subject);
        auto found = std::lower_bound(routers.begin(), routers.end(), name);
        bool is_in = found != routers.end() && *found == name;
        // A crashed router leaves only after its upstreams have finished its
        // requests.
        bool may_leave = !subject.has_crashed || subject.held.empty();
        if (is_in && may_leave && routers.size() > 1)
        {
            routers.erase(found);
        }
        else if (!is_in && !subject.has_crashed)
        {
            routers.insert(found, name);
        }
        if (subject.has_crashed && subject.held.empty())
        {
            next.ended.push_back(name);
        }
        next.epochs.push_back({next.newest() + 1, routers});
        ++next.revision;
        m_records.push_back(next);
    }

    void prune(router&, std::uint32_t)
    {
        epoch_record next = m_records.back();
        const router_epoch& oldest = next.epochs.front();
        bool is_released = std::all_of(
            oldest.routers.begin(), oldest.routers.end(),
            [this, &next, &oldest](const std::string& name)
            {
                return m_acknowledged_epochs[name] > oldest.number ||
                       std::count(next.ended.begin(), next.ended.end(), name);
            });
        if (next.epochs.size() > 1 && is_released)
        {
            next.epochs.erase(next.epochs.begin());
            ++next.revision;
            m_records.push_back(next);
        }
    }

    void crash(router& subject, std::uint32_t random_number)
    {
        constexpr std::uint32_t crash_divisor = 4;
        bool is_last = std::count_if(m_routers.begin(), m_routers.end(),
                                     [](const std::unique_ptr<router>& each)
                                     { return !each->has_crashed; }) == 1;
        subject.has_crashed = subject.has_crashed ||
                              (random_number % crash_divisor == 0 && !is_last);
    }

    [[nodiscard]] std::string name_of(const router& subject) const
    {
        auto found = std::find_if(m_routers.begin(), m_routers.end(),
                                  [&subject](const auto& each)
                                  { return each.get() == &subject; });
        return m_names[static_cast<std::size_t>(found - m_routers.begin())];
    }

    std::vector<std::string> m_names;
    std::vector<std::unique_ptr<router>> m_routers;
    std::vector<upstream_declaration> m_upstreams;
    std::vector<epoch_record> m_records;
    std::map<std::string, epoch_number> m_acknowledged_epochs;
};

} // namespace

TEST_GROUP(capacity){};

TEST(capacity, is_never_exceeded_while_routers_use_different_epochs)
{
    CHECK(rc::check(
        "the sum of what routers hold stays within capacity",
        []
        {
            std::size_t routers = *rc::gen::inRange<std::size_t>(1, 7);
            std::vector<std::int32_t> capacities =
                *rc::gen::container<std::vector<std::int32_t>>(
                    3, rc::gen::inRange(0, 12));
            fleet subject(routers, capacities);
            std::vector<std::uint32_t> random_numbers = *rc::gen::resize(
                300, rc::gen::container<std::vector<std::uint32_t>>(
                         rc::gen::inRange<std::uint32_t>(0, 1U << 30)));
            for (std::uint32_t random_number : random_numbers)
            {
                subject.step(random_number);
                RC_ASSERT(subject.is_within_capacity());
            }
        }));
}

TEST(capacity, is_fully_used_once_all_routers_agree)
{
    CHECK(rc::check(
        "without crashes, shares add up to the capacity",
        []
        {
            std::size_t routers = *rc::gen::inRange<std::size_t>(1, 7);
            fleet subject(routers, {5, 9});
            std::vector<std::uint32_t> random_numbers =
                *rc::gen::container<std::vector<std::uint32_t>>(
                    rc::gen::inRange<std::uint32_t>(0, 9000));
            constexpr std::uint32_t crash = 9;
            for (std::uint32_t random_number : random_numbers)
            {
                if (random_number % 10 != crash)
                {
                    subject.step(random_number);
                }
            }
            subject.settle();
            RC_ASSERT(subject.total_share() == subject.total_capacity());
        }));
}

TEST(capacity, owners_of_slots_do_not_depend_on_the_capacity)
{
    CHECK(rc::check(
        "a larger capacity keeps each slot's owner, none above the limit",
        []
        {
            std::vector<std::uint64_t> routers =
                *rc::gen::nonEmpty<std::vector<std::uint64_t>>();
            std::int32_t small = *rc::gen::inRange(0, 64);
            std::int32_t more = *rc::gen::inRange(0, 64);
            std::vector<std::uint16_t> few = owners_of_slots(7, small, routers);
            std::vector<std::uint16_t> many =
                owners_of_slots(7, small + more, routers);
            RC_ASSERT(std::equal(few.begin(), few.end(), many.begin()));
            // A router owns at most 5/4 of the even share of the hashed slots,
            // rounded up. The further slots repeat the hashed ones evenly.
            std::int64_t slots = small + more;
            std::int64_t hashed_slots = std::min<std::int64_t>(
                slots, static_cast<std::int64_t>(std::min<std::size_t>(
                           max_hashed_slots(routers.size()), 64 * 2)));
            std::int64_t count = static_cast<std::int64_t>(routers.size());
            for (std::uint16_t owner : many)
            {
                std::int64_t owned = std::count(
                    many.begin(), many.begin() + hashed_slots, owner);
                RC_ASSERT(4 * count * (owned - 1) < 5 * hashed_slots);
                std::int64_t held = std::count(many.begin(), many.end(), owner);
                RC_ASSERT(held * hashed_slots <=
                          owned * (slots + hashed_slots - 1));
            }
        }));
}
