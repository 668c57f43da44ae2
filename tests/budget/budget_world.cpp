#include "tests/budget/budget_world.hpp"

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
constexpr std::chrono::seconds repeat_time(5);
constexpr std::chrono::milliseconds step(7);

domain::rate_share_settings grant_settings()
{
    domain::rate_share_settings settings;
    settings.exact_below_tokens = 200;
    settings.exact_below = std::chrono::seconds(1);
    return settings;
}

domain::router_ledger_settings ledger_settings()
{
    domain::router_ledger_settings settings;
    settings.shard_count = 1;
    settings.grant_term = std::chrono::seconds(60);
    settings.clock_skew = std::chrono::seconds(5);
    settings.bills_per_batch = 3;
    settings.lines_per_batch = 1;
    settings.holds = 8;
    return settings;
}

} // namespace

std::ostream& operator<<(std::ostream& out, const world_command& command)
{
    return out << "{" << command.kind << "," << command.first << ","
               << command.second << "," << command.amount << "}";
}

budget_world::budget_world()
    : m_policy(grant_settings())
{
    m_limits.retry_window = std::chrono::seconds(40);
    m_limits.longest_retry_window = m_limits.retry_window;
    m_limits.late_after = std::chrono::seconds(30);
    m_routers.resize(router_count);
    for (std::size_t i = 0; i < router_count; ++i)
    {
        start_router(i);
    }
    top_up({0, 0, 0, 500});
    top_up({0, 0, 1, 500});
}

void budget_world::start_router(std::size_t index)
{
    router& made = m_routers[index];
    made = router();
    made.name = "r" + std::to_string(m_next_incarnation++);
    made.ledger = std::make_unique<domain::router_ledger>(ledger_settings(),
                                                          made.name, m_policy);
    domain::shard_writer_settings settings;
    settings.write_interval = std::chrono::milliseconds(0);
    settings.limits = m_limits;
    made.writer = std::make_unique<domain::shard_writer>(settings, m_policy);
}

const std::string& budget_world::fault() const
{
    return m_fault;
}

void budget_world::fail(const std::string& what)
{
    m_fault = m_fault.empty() ? what : m_fault;
}

domain::ledger_time budget_world::now_for(const router& chosen) const
{
    return {m_clock.steady_now(), m_clock.system_now() + chosen.skew};
}

domain::sys_seconds budget_world::date() const
{
    return std::chrono::time_point_cast<std::chrono::seconds>(
        m_clock.system_now());
}

budget_world::router& budget_world::choose(int number)
{
    return m_routers[static_cast<std::size_t>(number) % router_count];
}

void budget_world::run(const world_command& command)
{
    using action = void (budget_world::*)(const world_command&);
    // An action stands as often as its share of the steps.
    static constexpr std::array<action, command_kinds> actions{
        &budget_world::place,   &budget_world::place,
        &budget_world::place,   &budget_world::settle,
        &budget_world::settle,  &budget_world::settle,
        &budget_world::release, &budget_world::send,
        &budget_world::send,    &budget_world::send,
        &budget_world::send,    &budget_world::call,
        &budget_world::call,    &budget_world::call,
        &budget_world::call,    &budget_world::call,
        &budget_world::call,    &budget_world::call,
        &budget_world::crash,   &budget_world::top_up,
        &budget_world::reclaim, &budget_world::advance,
        &budget_world::skew,    &budget_world::duplicate};
    const std::size_t kind =
        static_cast<std::size_t>(command.kind) % actions.size();
    m_clock.advance(step);
    (this->*actions[kind])(command);
    check();
}

void budget_world::place(const world_command& command)
{
    constexpr int request_count = 12;
    router& chosen = choose(command.first);
    const std::string id = std::to_string(command.second % request_count);
    const std::string budget = command.second % 3 == 0 ? "spare" : "main";
    try_place(chosen, {"acme", budget, id, 7, 1 + command.amount % 90});
}

bool budget_world::try_place(router& chosen,
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
    ++m_runs[key];
    return true;
}

void budget_world::retry_waiting(router& chosen)
{
    std::vector<domain::hold_request> waiting;
    waiting.swap(chosen.waiting);
    for (const domain::hold_request& request : waiting)
    {
        try_place(chosen, request);
    }
}

bool budget_world::may_settle(std::uint64_t key) const
{
    // A caller repeats a request only within the stated retry window.
    auto charged = m_charges.find(key);
    return charged == m_charges.end() ||
           date() <= charged->second.when + repeat_time;
}

void budget_world::settle(const world_command& command)
{
    router& chosen = choose(command.first);
    if (chosen.open.empty())
    {
        return;
    }
    const std::size_t index =
        static_cast<std::size_t>(command.second) % chosen.open.size();
    const open_request request = chosen.open[index];
    chosen.open.erase(chosen.open.begin() + static_cast<long>(index));
    if (!may_settle(request.key))
    {
        chosen.ledger->release(request.hold);
        return;
    }
    const tokens used = command.amount % (request.bound + 20);
    result<domain::bill_line> bill =
        chosen.ledger->settle(request.hold, used, now_for(chosen));
    if (!bill || bill.value().used > request.bound)
    {
        fail("a bill is over its hold");
    }
}

void budget_world::release(const world_command& command)
{
    router& chosen = choose(command.first);
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

void budget_world::send(const world_command& command)
{
    router& chosen = choose(command.first);
    std::optional<domain::router_batch> batch =
        chosen.ledger->plan(0, now_for(chosen));
    if (!batch.has_value())
    {
        return;
    }
    m_sent.push_back(*batch);
    chosen.sent = chosen.writer->submit(std::move(*batch));
}

void budget_world::call(const world_command& command)
{
    constexpr int fault_kinds = 10;
    router& chosen = choose(command.first);
    const std::optional<ports::steady_time> due = chosen.writer->due_at();
    if (!due.has_value())
    {
        return;
    }
    m_clock.advance(
        std::max(*due - m_clock.steady_now(), ports::steady_time::duration(0)));
    const domain::shard_call call = chosen.writer->start(
        m_clock.steady_now(), m_clock.system_now() + chosen.skew);
    const int fault = command.amount % fault_kinds;
    if (call.kind == domain::shard_call_kind::write)
    {
        call_write(chosen, call, fault);
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

void budget_world::call_write(router& chosen, const domain::shard_call& call,
                              int fault)
{
    enum fault_kind
    {
        lost_reply = 6,
        lost_request,
        late_effect,
        refused,
    };
    const bool has_effect = fault <= lost_reply;
    const bool is_swapped = has_effect && swap(*call.value, call.expected);
    if (fault == late_effect)
    {
        m_late.push_back({*call.value, call.expected});
    }
    if (fault < lost_reply && is_swapped)
    {
        take(chosen, chosen.writer->on_written(m_revision));
        return;
    }
    result_code code = result_code::platform_outcome_unknown;
    code = fault < lost_reply ? result_code::platform_conflict : code;
    code = fault == refused ? result_code::platform_unavailable : code;
    chosen.writer->on_failed(code, m_clock.steady_now(), 0.5);
    if (fault == refused && chosen.sent.has_value())
    {
        // The router stops waiting and sends the same batch again later.
        chosen.writer->withdraw(*chosen.sent);
        chosen.sent.reset();
        chosen.ledger->on_unresolved(0);
    }
}

void budget_world::take(router& chosen,
                        const std::vector<domain::ticket_reply>& replies)
{
    for (const domain::ticket_reply& reply : replies)
    {
        if (!chosen.sent.has_value() || *chosen.sent != reply.number)
        {
            continue;
        }
        chosen.sent.reset();
        const bool is_open = reply.reply.state == domain::batch_state::applied;
        take_receipts(chosen.ledger->on_reply(0, reply.reply), is_open);
        retry_waiting(chosen);
    }
}

void budget_world::take_receipts(const std::vector<bill_receipt>& receipts,
                                 bool is_open)
{
    for (const bill_receipt& receipt : receipts)
    {
        const bool is_delivered = receipt.state == bill_state::billed ||
                                  receipt.state == bill_state::duplicate;
        if (is_delivered && m_charges[receipt.key].count != 1)
        {
            fail("an answer was delivered without exactly one bill");
        }
        if (is_open && receipt.state == bill_state::refused)
        {
            fail("a router spent more than it was granted");
        }
    }
}

void budget_world::check()
{
    if (!domain::is_sound(m_stored))
    {
        fail("settled and outstanding are over the budget");
    }
}

void budget_world::finish()
{
    constexpr int rounds = 300;
    constexpr int send_kind = 7;
    constexpr int call_kind = 11;
    deliver_late();
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
        run({send_kind, round, 0, 0});
        run({call_kind, round, 0, 0});
    }
    for (const router& each : m_routers)
    {
        if (!each.ledger->is_drained())
        {
            fail("a router did not drain: " + each.name);
        }
    }
}

} // namespace turmeric::tests
