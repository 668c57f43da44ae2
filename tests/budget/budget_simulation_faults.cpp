#include "tests/budget/budget_simulation.hpp"

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

bool budget_simulation::compare_and_swap(const budget_shard& value,
                                         ports::revision expected)
{
    if (expected != m_revision)
    {
        return false;
    }
    record_charges(value);
    m_stored = value;
    ++m_revision;
    return true;
}

void budget_simulation::record_charges(const budget_shard& value)
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
            m_charges[bill.key].charged_at = system_seconds();
            if (++m_charges[bill.key].count > 1)
            {
                record_violation("a request was billed twice");
            }
            if (m_run_counts[bill.key] == 0)
            {
                record_violation("a request that never ran was billed");
            }
        }
    }
    if (settled_sum(value) - settled_sum(m_stored) != charged)
    {
        record_violation("settled tokens differ from the sum of the bills");
    }
}

void budget_simulation::deliver_delayed_writes()
{
    for (const delayed_write& write : m_delayed_writes)
    {
        compare_and_swap(write.value, write.expected);
    }
    m_delayed_writes.clear();
}

void budget_simulation::duplicate_batch(const simulation_command& command)
{
    deliver_delayed_writes();
    if (m_submitted_batches.empty())
    {
        return;
    }
    // A batch that was already sent arrives again, at a committer that has
    // just read the newest value.
    const std::size_t index =
        static_cast<std::size_t>(command.second) % m_submitted_batches.size();
    budget_shard value = m_stored;
    static_cast<void>(domain::apply_batch(value, m_submitted_batches[index],
                                          system_seconds(), m_limits,
                                          m_policy));
    compare_and_swap(value, m_revision);
}

void budget_simulation::crash(const simulation_command& command)
{
    if (command.amount % 4 == 0)
    {
        restart_router(static_cast<std::size_t>(command.first) % router_count);
    }
}

void budget_simulation::top_up(const simulation_command& command)
{
    constexpr int max_top_ups = 20;
    budget_shard value = m_stored;
    const bool is_repeat = command.second % 2 == 0 && m_next_top_up > 1;
    const int id = is_repeat ? m_next_top_up - 2 : m_next_top_up;
    const std::string budget = id % 2 == 0 ? "main" : "spare";
    const tokens before =
        domain::total_top_ups_of(value.budgets["acme/" + budget]);
    const tokens amount = 1 + id + command.amount;
    result<domain::change> added = domain::apply_top_up(
        value, {"acme", budget, std::to_string(id), amount}, system_seconds(),
        m_limits);
    const tokens after =
        domain::total_top_ups_of(value.budgets["acme/" + budget]);
    if (after != before + (is_repeat ? 0 : amount))
    {
        record_violation("a top-up was applied twice or not at all");
    }
    if (added && m_next_top_up < max_top_ups &&
        compare_and_swap(value, m_revision))
    {
        m_next_top_up += is_repeat ? 0 : 1;
    }
}

void budget_simulation::reclaim(const simulation_command& command)
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
            ? domain::freeze_incarnation(value, name, system_seconds())
            : domain::close_incarnation(value, name, system_seconds(),
                                        freeze_time);
    if (made == domain::change::made && compare_and_swap(value, m_revision) &&
        domain::find_incarnation(value, name) == nullptr)
    {
        m_closed_incarnations.insert(name);
    }
}

void budget_simulation::advance(const simulation_command& command)
{
    constexpr int max_seconds = 25;
    const bool is_long = command.amount % 4 == 0;
    m_clock.advance(
        std::chrono::seconds(is_long ? command.amount / 4 % max_seconds : 1));
}

void budget_simulation::skew(const simulation_command& command)
{
    // Clocks differ by at most the margin between `max_undelivered_bill_age`
    // and the retry window.
    router_at(command.first).skew =
        std::chrono::seconds(command.amount % 7 - 3);
}

} // namespace turmeric::tests
