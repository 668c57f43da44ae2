#include "libraries/drivers/budget/budget_service.hpp"

#include "libraries/domain/budget/backoff.hpp"
#include "libraries/drivers/budget/random_fraction.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::drivers
{

using domain::bill_receipt;
using domain::bill_state;

namespace
{

/// The maximum time that a waiting caller sleeps before it checks its deadline.
constexpr std::chrono::milliseconds poll_interval{20};

bool is_retryable(result_code code)
{
    return code == result_code::grant_unavailable ||
           code == result_code::grant_expired;
}

error undurable_error()
{
    return error{result_code::bill_undurable, "",
                 "the bill could not be made durable in time",
                 outcome::outcome_unknown};
}

} // namespace

budget_service::budget_service(const budget_ports& ports,
                               const budget_settings& settings,
                               std::string incarnation)
    : m_ports(ports)
    , m_settings(settings)
    , m_incarnation(std::move(incarnation))
    , m_policy(settings.grants)
    , m_local_committer(ports.store, ports.clock, ports.random, ports.log,
                        settings.committer, m_policy)
    , m_committer(ports.committer == nullptr ? m_local_committer
                                             : *ports.committer)
    , m_claims(ports.store, ports.clock, ports.random, ports.log,
               settings.claims, m_incarnation)
    , m_ledger(settings.ledger, m_incarnation, m_policy)
{
    for (std::int32_t i = 0; i < settings.commit_threads; ++i)
    {
        m_threads.emplace_back([this] { run(); });
    }
}

budget_service::~budget_service()
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_is_stopping = true;
    }
    m_claims.stop();
    m_work_available.notify_all();
    m_changed.notify_all();
    for (std::thread& thread : m_threads)
    {
        thread.join();
    }
}

domain::ledger_time budget_service::now() const
{
    return {m_ports.clock.steady_now(), m_ports.clock.system_now()};
}

result<hold> budget_service::acquire(const domain::hold_request& request,
                                     ports::steady_time deadline)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    result<domain::hold_id> placed = m_ledger.place_hold(request, now());
    while (!placed && is_retryable(placed.failure().code) &&
           !m_ledger.is_fenced())
    {
        if (m_ports.clock.steady_now() >= deadline || m_is_stopping)
        {
            placed = m_ledger.cancel_wait(request, now());
            break;
        }
        m_work_available.notify_one();
        m_changed.wait_for(lock, poll_interval);
        placed = m_ledger.place_hold(request, now());
    }
    if (placed)
    {
        ++m_counts.placed_holds;
        return hold{placed.value(), m_ledger.shard_for(request.account)};
    }
    const bool is_exhausted =
        placed.failure().code == result_code::budget_exhausted;
    ++(is_exhausted ? m_counts.exhausted_holds : m_counts.unavailable_holds);
    return placed.failure();
}

result<bill_receipt> budget_service::settle(const hold& held,
                                            domain::tokens used,
                                            ports::steady_time deadline)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    result<domain::pending_bill> settled =
        m_ledger.settle(held.id, used, now());
    if (!settled)
    {
        return settled.failure();
    }
    m_receipts.emplace(held.id, std::nullopt);
    m_work_available.notify_one();
    const ports::steady_time replicate_at =
        m_ports.replicator == nullptr
            ? deadline
            : std::min(deadline,
                       m_ports.clock.steady_now() + m_settings.replicate_after);
    std::optional<bill_receipt> receipt =
        wait_for_receipt(held.id, replicate_at, lock);
    bool is_replicated = false;
    if (!receipt.has_value() && m_ports.replicator != nullptr)
    {
        is_replicated = replicate_bill(settled.value(), deadline, lock);
        if (is_replicated)
        {
            m_ledger.mark_delivered(held.shard, held.id);
        }
        receipt = wait_for_receipt(
            held.id, is_replicated ? m_ports.clock.steady_now() : deadline,
            lock);
    }
    m_receipts.erase(held.id);
    if (receipt.has_value())
    {
        return settlement_result(*receipt);
    }
    if (is_replicated)
    {
        ++m_counts.replicated_bills;
        return bill_receipt{held.id,
                            settled.value().key,
                            bill_state::billed,
                            settled.value().used,
                            false,
                            true};
    }
    ++m_counts.undurable_bills;
    return undurable_error();
}

std::optional<bill_receipt>
budget_service::wait_for_receipt(domain::hold_id id, ports::steady_time until,
                                 std::unique_lock<std::mutex>& lock)
{
    while (!m_receipts.at(id).has_value() && !m_is_stopping &&
           m_ports.clock.steady_now() < until)
    {
        m_changed.wait_for(lock, poll_interval);
    }
    return m_receipts.at(id);
}

bool budget_service::replicate_bill(const domain::pending_bill& bill,
                                    ports::steady_time deadline,
                                    std::unique_lock<std::mutex>& lock)
{
    lock.unlock();
    const status replicated_bills =
        m_ports.replicator->replicate(m_incarnation, bill, deadline);
    lock.lock();
    return replicated_bills.has_value();
}

result<bill_receipt>
budget_service::settlement_result(const bill_receipt& receipt)
{
    switch (receipt.state)
    {
    case bill_state::billed:
    case bill_state::duplicate:
        return receipt;
    case bill_state::reused:
        return error{result_code::request_id_reused, "request_id",
                     "the request id was already billed with a different body",
                     outcome::outcome_unknown};
    case bill_state::expired:
        return undurable_error();
    case bill_state::refused:
        break;
    }
    return error{
        result_code::grant_expired, "",
        "this router's grants were closed before the bill was committed",
        outcome::outcome_unknown};
}

void budget_service::release(const hold& held)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_ledger.release(held.id);
    m_changed.notify_all();
}

status budget_service::claim(const std::string& account,
                             const std::string& request_id,
                             ports::steady_time deadline)
{
    return m_claims.claim(account, request_id, deadline);
}

status budget_service::drain(ports::steady_time deadline)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    m_ledger.start_drain();
    m_work_available.notify_all();
    while (!m_ledger.is_drained())
    {
        if (m_ports.clock.steady_now() >= deadline || m_is_stopping)
        {
            return error{result_code::deadline_exceeded, "",
                         "some bills or returned grants are not committed yet"};
        }
        m_changed.wait_for(lock, poll_interval);
    }
    return success();
}

store_committer& budget_service::local_committer()
{
    return m_local_committer;
}

budget_counts budget_service::counters() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    budget_counts counts = m_counts;
    counts.ledger = m_ledger.counts();
    counts.committer = m_local_committer.counts();
    return counts;
}

} // namespace turmeric::drivers
