#include <rapidcheck.h>

#include "libraries/core/memory_budget.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <numeric>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using turmeric::all_memory_kinds;
using turmeric::memory_budget;
using turmeric::memory_kind;
using turmeric::memory_reservation;

namespace
{

constexpr std::int64_t limit = 1'000'000;

/// Reservations of a budget, and how many bytes of which kind each must hold.
class budget_model
{
public:
    void step()
    {
        const std::int64_t bytes = *rc::gen::inRange<std::int64_t>(0, limit);
        switch (*rc::gen::inRange(0, 6))
        {
        case 0:
            add(*rc::gen::elementOf(std::vector<memory_kind>(
                all_memory_kinds.begin(), all_memory_kinds.end())));
            break;
        case 1:
            resize(pick(), bytes);
            break;
        case 2:
            try_resize(pick(), bytes);
            break;
        case 3:
            change_kind(pick());
            break;
        case 4:
            copy(pick());
            break;
        default:
            remove(pick());
            break;
        }
        check();
    }

    void clear()
    {
        m_held.clear();
        m_expected.clear();
    }

    void check() const
    {
        std::map<memory_kind, std::int64_t> sums;
        std::int64_t total = 0;
        for (const auto& [kind, bytes] : m_expected)
        {
            sums[kind] += bytes;
            total += bytes;
        }
        for (const memory_kind kind : all_memory_kinds)
        {
            RC_ASSERT(m_budget.used(kind) == sums[kind]);
        }
        RC_ASSERT(m_budget.used() == total);
    }

private:
    std::size_t pick()
    {
        if (m_held.empty())
        {
            add(memory_kind::reading);
        }
        return *rc::gen::inRange<std::size_t>(0, m_held.size());
    }

    void add(memory_kind kind)
    {
        m_held.emplace_back(&m_budget, kind);
        m_expected.emplace_back(kind, 0);
    }

    void resize(std::size_t index, std::int64_t bytes)
    {
        m_held[index].resize(bytes);
        m_expected[index].second = bytes;
    }

    void try_resize(std::size_t index, std::int64_t bytes)
    {
        const bool is_larger = bytes > m_expected[index].second;
        const bool is_done = m_held[index].try_resize(bytes);
        RC_ASSERT(is_done || is_larger);
        if (is_done)
        {
            m_expected[index].second = bytes;
        }
        RC_ASSERT(!is_done || !is_larger || m_budget.used() <= limit);
    }

    void change_kind(std::size_t index)
    {
        m_held[index].set_kind(memory_kind::requests);
        m_expected[index].first = memory_kind::requests;
    }

    void copy(std::size_t index)
    {
        const memory_reservation copied = m_held[index];
        RC_ASSERT(copied.bytes() == m_held[index].bytes());
        m_held.push_back(copied);
        m_expected.push_back(m_expected[index]);
    }

    void remove(std::size_t index)
    {
        std::swap(m_held[index], m_held.back());
        std::swap(m_expected[index], m_expected.back());
        m_held.pop_back();
        m_expected.pop_back();
    }

    memory_budget m_budget{limit};
    std::vector<memory_reservation> m_held;
    std::vector<std::pair<memory_kind, std::int64_t>> m_expected;
};

} // namespace

TEST_GROUP(memory_budget_group)
{
    memory_budget budget{limit};
};

// Guards against bytes that are lost or counted twice, by which a router would
// refuse requests for good or hold more than its limit.
TEST(memory_budget_group, each_byte_is_counted_once_and_comes_back)
{
    CHECK(rc::check("the sums are those of the reservations",
                    []
                    {
                        budget_model model;
                        const int steps = *rc::gen::inRange(1, 60);
                        for (int step = 0; step < steps; ++step)
                        {
                            model.step();
                        }
                        model.clear();
                        model.check();
                    }));
}

TEST(memory_budget_group, small_needs_find_room_longer_than_large_ones)
{
    memory_reservation large(&budget, memory_kind::requests);
    CHECK(large.try_resize(limit / 8 * 7));
    memory_reservation other(&budget, memory_kind::requests);
    CHECK_FALSE(other.try_resize(memory_budget::max_small_bytes + 1));
    CHECK(other.try_resize(memory_budget::max_small_bytes));
    CHECK_FALSE(budget.can_ever_hold(limit));
    CHECK(budget.can_ever_hold(limit / 8 * 7));
}

TEST(memory_budget_group, each_release_is_reported)
{
    int releases = 0;
    budget.set_release_handler([&releases] { ++releases; });
    {
        memory_reservation held(&budget, memory_kind::requests);
        held.resize(5);
        LONGS_EQUAL(0, releases);
        held.resize(3);
        LONGS_EQUAL(1, releases);
    }
    LONGS_EQUAL(2, releases);
}
