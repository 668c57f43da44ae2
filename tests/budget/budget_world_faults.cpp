#include "tests/budget/budget_world.hpp"

#include <algorithm>

namespace turmeric::tests
{

using domain::bill_page;
using domain::bill_record;
using domain::budget_shard;
using domain::tokens;

namespace
{

constexpr std::size_t router_count = 3;
constexpr std::chrono::seconds freeze_time(20);

tokens settled_sum(const budget_shard& shard)
{
    tokens sum = 0;
    for (const auto& [name, account] : shard.budgets)
    {
        sum += domain::settled_of(account);
    }
    return sum;
}

} // namespace

bool budget_world::swap(const budget_shard& value, ports::revision expected)
{
    if (expected != m_revision)
    {
        return false;
    }
    note_charges(value);
    m_stored = value;
    ++m_revision;
    return true;
}

void budget_world::note_charges(const budget_shard& value)
{
    std::map<std::uint64_t, int> before;
    for (const bill_page& page : m_stored.bill_pages)
    {
        for (const bill_record& bill : page.bills)
        {
            ++before[bill.key];
        }
    }
    tokens charged = 0;
    for (const bill_page& page : value.bill_pages)
    {
        for (const bill_record& bill : page.bills)
        {
            if (before[bill.key]-- > 0)
            {
                continue;
            }
            charged += bill.used;
            m_charges[bill.key].when = date();
            if (++m_charges[bill.key].count > 1)
            {
                fail("a request was billed twice");
            }
            if (m_runs[bill.key] == 0)
            {
                fail("a request was billed that never ran");
            }
        }
    }
    if (settled_sum(value) - settled_sum(m_stored) != charged)
    {
        fail("settled tokens differ from the bills");
    }
}

void budget_world::deliver_late()
{
    for (const late_write& write : m_late)
    {
        swap(write.value, write.expected);
    }
    m_late.clear();
}

void budget_world::duplicate(const world_command& command)
{
    deliver_late();
    if (m_sent.empty())
    {
        return;
    }
    // A message that a peer got before arrives once more, straight at a
    // committer that has read the newest value.
    const std::size_t index =
        static_cast<std::size_t>(command.second) % m_sent.size();
    budget_shard value = m_stored;
    static_cast<void>(
        domain::apply_commit(value, m_sent[index], date(), m_limits, m_policy));
    swap(value, m_revision);
}

void budget_world::crash(const world_command& command)
{
    if (command.amount % 4 == 0)
    {
        start_router(static_cast<std::size_t>(command.first) % router_count);
    }
}

void budget_world::top_up(const world_command& command)
{
    constexpr int most_top_ups = 20;
    budget_shard value = m_stored;
    const bool is_repeat = command.second % 2 == 0 && m_next_top_up > 1;
    const int id = is_repeat ? m_next_top_up - 2 : m_next_top_up;
    const std::string budget = id % 2 == 0 ? "main" : "spare";
    const tokens before = domain::total_of(value.budgets["acme/" + budget]);
    const tokens amount = 1 + id + command.amount;
    result<domain::change> added = domain::apply_top_up(
        value, {"acme", budget, std::to_string(id), amount}, date(), m_limits);
    const tokens after = domain::total_of(value.budgets["acme/" + budget]);
    if (after != before + (is_repeat ? 0 : amount))
    {
        fail("a top-up was applied twice or not at all");
    }
    if (added && m_next_top_up < most_top_ups && swap(value, m_revision))
    {
        m_next_top_up += is_repeat ? 0 : 1;
    }
}

void budget_world::reclaim(const world_command& command)
{
    budget_shard value = m_stored;
    if (value.incarnations.empty())
    {
        return;
    }
    const std::size_t index =
        static_cast<std::size_t>(command.second) % value.incarnations.size();
    const std::string name = value.incarnations[index].name;
    const domain::change made =
        command.amount % 2 == 0
            ? domain::freeze_incarnation(value, name, date())
            : domain::close_incarnation(value, name, date(), freeze_time);
    if (made == domain::change::made && swap(value, m_revision) &&
        domain::find_incarnation(value, name) == nullptr)
    {
        m_closed.insert(name);
    }
}

void budget_world::advance(const world_command& command)
{
    constexpr int most_seconds = 25;
    const bool is_long = command.amount % 4 == 0;
    m_clock.advance(
        std::chrono::seconds(is_long ? command.amount / 4 % most_seconds : 1));
}

void budget_world::skew(const world_command& command)
{
    // Clocks differ by at most the margin between `late_after` and the retry
    // window.
    choose(command.first).skew = std::chrono::seconds(command.amount % 7 - 3);
}

} // namespace turmeric::tests
