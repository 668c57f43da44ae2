#include "libraries/drivers/exchange/traffic_state.hpp"

#include "libraries/drivers/exchange/exchange.hpp"

#include <utility>

namespace turmeric::drivers
{

namespace
{

/// Requests that lack tokens within this time are asked for together.
constexpr std::chrono::milliseconds ask_interval{20};

} // namespace

traffic_state::traffic_state(const traffic_parts& the_parts,
                             traffic_settings the_settings)
    : parts(the_parts)
    , settings(std::move(the_settings))
    , board(settings.data_centre)
    , retries(settings.retries)
{
}

traffic_state::~traffic_state() = default;

void traffic_state::serve_line(const std::string& service)
{
    std::optional<std::uint64_t> next = line.next(service);
    while (next)
    {
        const auto found = exchanges.find(*next);
        if (found == exchanges.end())
        {
            line.remove(*next);
            next = line.next(service);
            continue;
        }
        const std::shared_ptr<exchange> waiting = found->second;
        if (!waiting->try_place())
        {
            return;
        }
        line.remove(*next);
        next = line.next(service);
    }
}

void traffic_state::serve_lines()
{
    for (const std::string& service : line.services())
    {
        serve_line(service);
    }
}

void traffic_state::retry_holds(const std::string& account)
{
    const auto found = waiting_holds.find(account);
    if (found == waiting_holds.end())
    {
        return;
    }
    // Those that came first are served first. One that ends may lead back
    // here, so the list is taken out meanwhile.
    std::vector<waiting_hold> waiting = std::move(found->second);
    waiting_holds.erase(found);
    std::erase_if(waiting, [](const waiting_hold& one)
                  { return one.who->retry_hold(); });
    if (!waiting.empty())
    {
        std::vector<waiting_hold>& later = waiting_holds[account];
        later.insert(later.begin(), waiting.begin(), waiting.end());
    }
}

void traffic_state::leave_holds(const std::string& account, const exchange& who)
{
    const auto found = waiting_holds.find(account);
    if (found == waiting_holds.end())
    {
        return;
    }
    std::erase_if(found->second, [&](const waiting_hold& one)
                  { return one.who.get() == &who; });
    if (found->second.empty())
    {
        waiting_holds.erase(found);
    }
}

void traffic_state::forget(std::uint64_t number)
{
    exchanges.erase(number);
}

bool traffic_state::covers(const std::string& account,
                           std::int64_t tokens) const
{
    const auto total = prepaid.find(account);
    const domain::prepaid_balance own = ledger.balance(account);
    const auto known = fleet.accounts.find(account);
    const std::int64_t peers_spent =
        known == fleet.accounts.end() ? 0 : known->second.peers_spent;
    const std::int64_t paid = total == prepaid.end() ? 0 : total->second;
    return paid - own.used - own.held - peers_spent >= tokens;
}

bool traffic_state::may_get(const std::string& account,
                            std::int64_t tokens) const
{
    const auto total = prepaid.find(account);
    const auto known = fleet.accounts.find(account);
    if (total == prepaid.end() || known == fleet.accounts.end())
    {
        return true;
    }
    const std::int64_t rest = total->second - known->second.granted_in_all;
    return (!fleet.store_silent_since && rest >= tokens) ||
           known->second.peers_free / 2 >= tokens;
}

void traffic_state::ask_for_tokens()
{
    const ports::steady_time now = parts.clock.steady_now();
    if (!need || (asked_at && now - *asked_at < ask_interval))
    {
        return;
    }
    asked_at = now;
    need();
}

} // namespace turmeric::drivers
