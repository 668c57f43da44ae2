#include "tests/budget/budget_simulation.hpp"

#include <algorithm>
#include <array>

namespace turmeric::tests
{

using domain::bill_receipt;
using domain::bill_state;
using domain::budget_shard;
using domain::tokens;

namespace
{

constexpr std::size_t router_count = 3;
constexpr std::chrono::seconds max_repeat_delay(5);
constexpr std::chrono::milliseconds step_time(7);

domain::rate_share_settings grant_settings()
{
    domain::rate_share_settings settings;
    settings.min_remaining_tokens = 200;
    settings.min_time_to_exhaustion = std::chrono::seconds(1);
    return settings;
}

domain::router_ledger_settings ledger_settings()
{
    domain::router_ledger_settings settings;
    settings.shard_count = 1;
    settings.grant_term = std::chrono::seconds(60);
    settings.clock_skew = std::chrono::seconds(5);
    settings.bills_per_batch = 3;
    settings.updates_per_batch = 1;
    settings.holds = 8;
    return settings;
}

} // namespace

std::ostream& operator<<(std::ostream& out, const simulation_command& command)
{
    return out << "{" << command.kind << "," << command.first << ","
               << command.second << "," << command.amount << "}";
}

budget_simulation::budget_simulation()
    : m_policy(grant_settings())
{
    m_limits.retry_window = std::chrono::seconds(40);
    m_limits.max_retry_window = m_limits.retry_window;
    m_limits.max_undelivered_bill_age = std::chrono::seconds(30);
    m_routers.resize(router_count);
    for (std::size_t i = 0; i < router_count; ++i)
    {
        restart_router(i);
    }
    top_up({0, 0, 0, 500});
    top_up({0, 0, 1, 500});
}

void budget_simulation::restart_router(std::size_t index)
{
    router& restarted = m_routers[index];
    restarted = router();
    restarted.name = "r" + std::to_string(m_next_incarnation++);
    restarted.ledger = std::make_unique<domain::router_ledger>(
        ledger_settings(), restarted.name, m_policy);
    domain::shard_writer_settings settings;
    settings.write_interval = std::chrono::milliseconds(0);
    settings.limits = m_limits;
    restarted.writer =
        std::make_unique<domain::shard_writer>(settings, m_policy);
}

const std::string& budget_simulation::first_violation() const
{
    return m_first_violation;
}

void budget_simulation::record_violation(const std::string& what)
{
    m_first_violation = m_first_violation.empty() ? what : m_first_violation;
}

domain::ledger_time budget_simulation::now_for(const router& chosen) const
{
    return {m_clock.steady_now(), m_clock.system_now() + chosen.skew};
}

domain::sys_seconds budget_simulation::system_seconds() const
{
    return std::chrono::time_point_cast<std::chrono::seconds>(
        m_clock.system_now());
}

budget_simulation::router& budget_simulation::router_at(int number)
{
    return m_routers[static_cast<std::size_t>(number) % router_count];
}

void budget_simulation::run(const simulation_command& command)
{
    using action = void (budget_simulation::*)(const simulation_command&);
    // The number of entries of an action is its weight among the steps.
    static constexpr std::array<action, command_kind_count> actions{
        &budget_simulation::place_hold,   &budget_simulation::place_hold,
        &budget_simulation::place_hold,   &budget_simulation::settle,
        &budget_simulation::settle,       &budget_simulation::settle,
        &budget_simulation::release,      &budget_simulation::submit_batch,
        &budget_simulation::submit_batch, &budget_simulation::submit_batch,
        &budget_simulation::submit_batch, &budget_simulation::call_store,
        &budget_simulation::call_store,   &budget_simulation::call_store,
        &budget_simulation::call_store,   &budget_simulation::call_store,
        &budget_simulation::call_store,   &budget_simulation::call_store,
        &budget_simulation::crash,        &budget_simulation::top_up,
        &budget_simulation::reclaim,      &budget_simulation::advance,
        &budget_simulation::skew,         &budget_simulation::duplicate_batch};
    const std::size_t kind =
        static_cast<std::size_t>(command.kind) % actions.size();
    m_clock.advance(step_time);
    (this->*actions[kind])(command);
    check_shard();
}

void budget_simulation::place_hold(const simulation_command& command)
{
    constexpr int request_count = 12;
    router& chosen = router_at(command.first);
    const std::string id = std::to_string(command.second % request_count);
    const std::string budget = command.second % 3 == 0 ? "spare" : "main";
    try_place_hold(chosen, {"acme", budget, id, 7, 1 + command.amount % 90});
}

bool budget_simulation::try_place_hold(router& chosen,
                                       const domain::hold_request& request)
{
    result<domain::hold_id> placed =
        chosen.ledger->place_hold(request, now_for(chosen));
    if (!placed)
    {
        const bool is_waiting =
            placed.failure().code == result_code::grant_unavailable;
        if (is_waiting)
        {
            chosen.waiting.push_back(request);
        }
        return is_waiting;
    }
    const std::uint64_t key =
        domain::bill_key(request.account, request.request_id);
    chosen.open.push_back({placed.value(), key, request.upper_bound});
    ++m_run_counts[key];
    return true;
}

void budget_simulation::retry_waiting(router& chosen)
{
    std::vector<domain::hold_request> waiting;
    waiting.swap(chosen.waiting);
    for (const domain::hold_request& request : waiting)
    {
        try_place_hold(chosen, request);
    }
}

bool budget_simulation::is_repeat_allowed(std::uint64_t key) const
{
    // A caller repeats a request only shortly after it, well within the retry
    // window.
    auto charged = m_charges.find(key);
    return charged == m_charges.end() ||
           system_seconds() <= charged->second.charged_at + max_repeat_delay;
}

void budget_simulation::settle(const simulation_command& command)
{
    router& chosen = router_at(command.first);
    if (chosen.open.empty())
    {
        return;
    }
    const std::size_t index =
        static_cast<std::size_t>(command.second) % chosen.open.size();
    const open_request request = chosen.open[index];
    chosen.open.erase(chosen.open.begin() + static_cast<long>(index));
    if (!is_repeat_allowed(request.key))
    {
        chosen.ledger->release(request.hold);
        return;
    }
    const tokens used = command.amount % (request.bound + 20);
    result<domain::pending_bill> bill =
        chosen.ledger->settle(request.hold, used, now_for(chosen));
    if (!bill || bill.value().used > request.bound)
    {
        record_violation("a bill exceeds its hold");
    }
}

void budget_simulation::release(const simulation_command& command)
{
    router& chosen = router_at(command.first);
    if (!chosen.open.empty())
    {
        chosen.ledger->release(chosen.open.back().hold);
        chosen.open.pop_back();
    }
    if (command.amount % 32 == 0)
    {
        chosen.ledger->start_drain();
    }
}

void budget_simulation::submit_batch(const simulation_command& command)
{
    router& chosen = router_at(command.first);
    std::optional<domain::router_batch> batch =
        chosen.ledger->next_batch(0, now_for(chosen));
    if (!batch.has_value())
    {
        return;
    }
    m_submitted_batches.push_back(*batch);
    chosen.submission = chosen.writer->submit(std::move(*batch));
}

void budget_simulation::call_store(const simulation_command& command)
{
    constexpr int fault_kind_count = 10;
    router& chosen = router_at(command.first);
    const std::optional<ports::steady_time> due = chosen.writer->due_at();
    if (!due.has_value())
    {
        return;
    }
    m_clock.advance(
        std::max(*due - m_clock.steady_now(), ports::steady_time::duration(0)));
    const domain::shard_call call = chosen.writer->start(
        m_clock.steady_now(), m_clock.system_now() + chosen.skew);
    const int fault = command.amount % fault_kind_count;
    if (call.kind == domain::shard_call_kind::write)
    {
        write_store(chosen, call, fault);
        return;
    }
    constexpr int failed_read = 9;
    if (fault == failed_read)
    {
        chosen.writer->on_failed(result_code::platform_unavailable,
                                 m_clock.steady_now(), 0.5);
        return;
    }
    chosen.writer->on_read(m_stored, m_revision);
}

void budget_simulation::write_store(router& chosen,
                                    const domain::shard_call& call, int fault)
{
    enum fault_kind
    {
        lost_reply = 6,
        lost_request,
        delayed_effect,
        refused,
    };
    const bool has_effect = fault <= lost_reply;
    const bool is_swapped =
        has_effect && compare_and_swap(*call.value, call.expected);
    if (fault == delayed_effect)
    {
        m_delayed_writes.push_back({*call.value, call.expected});
    }
    if (fault < lost_reply && is_swapped)
    {
        deliver_replies(chosen, chosen.writer->on_written(m_revision));
        return;
    }
    result_code code = result_code::platform_outcome_unknown;
    code = fault < lost_reply ? result_code::platform_conflict : code;
    code = fault == refused ? result_code::platform_unavailable : code;
    chosen.writer->on_failed(code, m_clock.steady_now(), 0.5);
    if (fault == refused && chosen.submission.has_value())
    {
        // The router stops waiting for the reply and sends the same batch
        // again later.
        chosen.writer->withdraw(*chosen.submission);
        chosen.submission.reset();
        chosen.ledger->on_unresolved(0);
    }
}

void budget_simulation::deliver_replies(
    router& chosen, const std::vector<domain::submission_reply>& replies)
{
    for (const domain::submission_reply& reply : replies)
    {
        if (!chosen.submission.has_value() ||
            *chosen.submission != reply.number)
        {
            continue;
        }
        chosen.submission.reset();
        const bool is_open = reply.reply.state == domain::batch_state::applied;
        check_receipts(chosen.ledger->on_reply(0, reply.reply), is_open);
        retry_waiting(chosen);
    }
}

void budget_simulation::check_receipts(
    const std::vector<bill_receipt>& receipts, bool is_open)
{
    for (const bill_receipt& receipt : receipts)
    {
        const bool is_delivered = receipt.state == bill_state::billed ||
                                  receipt.state == bill_state::duplicate;
        if (is_delivered && m_charges[receipt.key].count != 1)
        {
            record_violation(
                "a response was delivered without exactly one bill");
        }
        if (is_open && receipt.state == bill_state::refused)
        {
            record_violation("a router spent more tokens than it was granted");
        }
    }
}

void budget_simulation::check_shard()
{
    if (!domain::is_consistent(m_stored))
    {
        record_violation("settled and outstanding tokens exceed the budget");
    }
}

void budget_simulation::finish()
{
    constexpr int rounds = 300;
    constexpr int submit_kind = 7;
    constexpr int store_call_kind = 11;
    deliver_delayed_writes();
    for (std::size_t i = 0; i < router_count; ++i)
    {
        const int number = static_cast<int>(i);
        while (!m_routers[i].open.empty())
        {
            settle({0, number, 0, 30});
        }
        m_routers[i].ledger->start_drain();
    }
    for (int round = 0; round < rounds; ++round)
    {
        run({submit_kind, round, 0, 0});
        run({store_call_kind, round, 0, 0});
    }
    for (const router& each : m_routers)
    {
        if (!each.ledger->is_drained())
        {
            record_violation("a router is not drained: " + each.name);
        }
    }
}

} // namespace turmeric::tests
