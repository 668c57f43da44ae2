// What all routers hold at an upstream together, whatever each of them has
// heard of epochs, acknowledgements and deaths.

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
    epoch_acknowledgements heard;
    std::vector<upstream_choice> held;
    bool is_dead = false;
};

/// Routers that share upstreams, each with its own, late knowledge.
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

    /// Does one thing that `draw` names.
    void step(std::uint32_t draw)
    {
        using action = void (fleet::*)(router&, std::uint32_t);
        constexpr std::array<action, 10> actions{
            &fleet::dispatch, &fleet::dispatch,     &fleet::dispatch,
            &fleet::finish,   &fleet::learn_record, &fleet::hear,
            &fleet::hear,     &fleet::change_epoch, &fleet::prune,
            &fleet::die,
        };
        action chosen = actions[draw % actions.size()];
        std::uint32_t rest = draw / actions.size();
        router& subject = *m_routers[rest % m_routers.size()];
        (this->*chosen)(subject, rest / m_routers.size());
    }

    /// Lets every live router know all and hold nothing.
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
                learn_record(*each, 0);
            }
            for (const std::unique_ptr<router>& each : m_routers)
            {
                for (std::uint32_t other = 0; other < m_routers.size(); ++other)
                {
                    hear(*each, other);
                }
            }
        }
    }

    [[nodiscard]] bool keeps_capacity() const
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

    void dispatch(router& subject, std::uint32_t draw)
    {
        if (subject.is_dead)
        {
            return;
        }
        choice_request request{"route", "v1", draw, "", {}};
        result<upstream_choice> choice =
            subject.selector.choose(request, ports::steady_time{});
        if (choice)
        {
            subject.held.push_back(choice.value());
        }
    }

    void finish(router& subject, std::uint32_t draw)
    {
        if (subject.held.empty())
        {
            return;
        }
        auto ended = subject.held.begin() +
                     static_cast<long>(draw % subject.held.size());
        subject.selector.finish(*ended, call_result::succeeded,
                                ports::steady_time{});
        subject.held.erase(ended);
    }

    void apply(router& subject)
    {
        subject.table.update(m_records[subject.record], subject.heard);
        subject.selector.update(subject.table.plan(m_upstreams));
    }

    void learn_record(router& subject, std::uint32_t draw)
    {
        if (subject.is_dead)
        {
            return;
        }
        std::size_t behind = draw % (m_records.size() - subject.record);
        subject.record = m_records.size() - 1 - behind;
        apply(subject);
    }

    void hear(router& subject, std::uint32_t draw)
    {
        std::size_t other = draw % m_routers.size();
        if (subject.is_dead || m_routers[other]->is_dead)
        {
            return;
        }
        epoch_number& said = m_said[m_names[other]];
        said = std::max(said, m_routers[other]->selector.acknowledge());
        subject.heard[m_names[other]] = said;
        apply(subject);
    }

    void change_epoch(router& subject, std::uint32_t)
    {
        epoch_record next = m_records.back();
        std::vector<std::string> routers = next.epochs.back().routers;
        std::string name = name_of(subject);
        auto found = std::lower_bound(routers.begin(), routers.end(), name);
        bool is_in = found != routers.end() && *found == name;
        // A dead router's requests are over once its upstreams finished
        // them; only then it leaves.
        bool may_go = !subject.is_dead || subject.held.empty();
        if (is_in && may_go && routers.size() > 1)
        {
            routers.erase(found);
        }
        else if (!is_in && !subject.is_dead)
        {
            routers.insert(found, name);
        }
        if (subject.is_dead && subject.held.empty())
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
                return m_said[name] > oldest.number ||
                       std::count(next.ended.begin(), next.ended.end(), name);
            });
        if (next.epochs.size() > 1 && is_released)
        {
            next.epochs.erase(next.epochs.begin());
            ++next.revision;
            m_records.push_back(next);
        }
    }

    void die(router& subject, std::uint32_t draw)
    {
        constexpr std::uint32_t rarely = 4;
        bool is_last = std::count_if(m_routers.begin(), m_routers.end(),
                                     [](const std::unique_ptr<router>& each)
                                     { return !each->is_dead; }) == 1;
        subject.is_dead = subject.is_dead || (draw % rarely == 0 && !is_last);
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
    std::map<std::string, epoch_number> m_said;
};

} // namespace

TEST_GROUP(capacity){};

TEST(capacity, is_never_exceeded_under_any_epoch_skew)
{
    CHECK(rc::check("the sum of what routers hold stays within capacity",
                    []
                    {
                        std::size_t routers =
                            *rc::gen::inRange<std::size_t>(1, 7);
                        std::vector<std::int32_t> capacities =
                            *rc::gen::container<std::vector<std::int32_t>>(
                                3, rc::gen::inRange(0, 12));
                        fleet subject(routers, capacities);
                        std::vector<std::uint32_t> draws = *rc::gen::resize(
                            300,
                            rc::gen::container<std::vector<std::uint32_t>>(
                                rc::gen::inRange<std::uint32_t>(0, 1U << 30)));
                        for (std::uint32_t draw : draws)
                        {
                            subject.step(draw);
                            RC_ASSERT(subject.keeps_capacity());
                        }
                    }));
}

TEST(capacity, is_wholly_used_once_all_routers_agree)
{
    CHECK(rc::check(
        "without deaths, shares add up to the capacity",
        []
        {
            std::size_t routers = *rc::gen::inRange<std::size_t>(1, 7);
            fleet subject(routers, {5, 9});
            std::vector<std::uint32_t> draws =
                *rc::gen::container<std::vector<std::uint32_t>>(
                    rc::gen::inRange<std::uint32_t>(0, 9000));
            constexpr std::uint32_t die = 9;
            for (std::uint32_t draw : draws)
            {
                if (draw % 10 != die)
                {
                    subject.step(draw);
                }
            }
            subject.settle();
            RC_ASSERT(subject.total_share() == subject.total_capacity());
        }));
}

TEST(capacity, slots_of_one_upstream_do_not_depend_on_its_capacity)
{
    CHECK(rc::check(
        "a larger capacity keeps each slot's owner, none above the bound",
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
            // Seats are bounded at 5/4 of the even share; each seat has the
            // even number of slots or one more.
            std::int64_t slots = small + more;
            std::int64_t seats = std::min<std::int64_t>(
                slots, static_cast<std::int64_t>(std::min<std::size_t>(
                           max_hashed_slots(routers.size()), 64 * 2)));
            std::int64_t count = static_cast<std::int64_t>(routers.size());
            for (std::uint16_t owner : many)
            {
                std::int64_t owned =
                    std::count(many.begin(), many.begin() + seats, owner);
                RC_ASSERT(4 * count * (owned - 1) < 5 * seats);
                std::int64_t held = std::count(many.begin(), many.end(), owner);
                RC_ASSERT(held * seats <= owned * (slots + seats - 1));
            }
        }));
}
