#include "libraries/drivers/exchange/traffic_state.hpp"

#include "libraries/drivers/exchange/exchange.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::drivers
{

namespace
{

/// Minimum time between two notifications of the control thread, so that one
/// notification serves all requests that lack tokens in the meantime.
constexpr std::chrono::milliseconds token_request_interval{20};
/// Events of up to this size are forwarded also when memory is full.
constexpr std::size_t ordinary_event_bytes = 16 << 10;

} // namespace

traffic_state::traffic_state(const traffic_state_dependencies& the_dependencies,
                             traffic_settings the_settings)
    : dependencies(the_dependencies)
    , settings(std::move(the_settings))
    , load_balancer(settings.data_centre)
    , retry_limiter(settings.retries)
    , overload(settings.link_mbps)
    , prober(*this)
{
}

traffic_state::~traffic_state() = default;

void traffic_state::place_queued_requests(const std::string& service)
{
    std::optional<std::uint64_t> next = queue.next(service);
    while (next)
    {
        const auto found = exchanges.find(*next);
        if (found == exchanges.end())
        {
            queue.remove(*next);
            next = queue.next(service);
            continue;
        }
        const std::shared_ptr<exchange> waiting = found->second;
        if (!waiting->try_place())
        {
            return;
        }
        queue.remove(*next);
        next = queue.next(service);
    }
}

void traffic_state::place_all_queued_requests()
{
    for (const std::string& service : queue.services())
    {
        place_queued_requests(service);
    }
}

void traffic_state::retry_holds(const std::string& account)
{
    const auto found = pending_holds.find(account);
    if (found == pending_holds.end())
    {
        return;
    }
    // The end of a request during its retry may lead to another call of this
    // function, so the list is removed from the map during the loop. Requests
    // that are added in the meantime go behind those that still wait.
    std::vector<pending_hold> waiting = std::move(found->second);
    pending_holds.erase(found);
    std::erase_if(waiting, [](const pending_hold& one)
                  { return one.owner->retry_hold(); });
    if (!waiting.empty())
    {
        std::vector<pending_hold>& added_meanwhile = pending_holds[account];
        added_meanwhile.insert(added_meanwhile.begin(), waiting.begin(),
                               waiting.end());
    }
}

void traffic_state::remove_pending_hold(const std::string& account,
                                        const exchange& owner)
{
    const auto found = pending_holds.find(account);
    if (found == pending_holds.end())
    {
        return;
    }
    std::erase_if(found->second, [&](const pending_hold& one)
                  { return one.owner.get() == &owner; });
    if (found->second.empty())
    {
        pending_holds.erase(found);
    }
}

void traffic_state::schedule_pause_end()
{
    const ports::steady_time now = dependencies.clock.steady_now();
    const std::optional<ports::steady_time> pause_end =
        notices.next_pause_end(now);
    std::optional<ports::steady_time> end;
    for (const std::optional<ports::steady_time>& one :
         {pause_end, brittle.next_opening(now), cold.next_opening(now)})
    {
        end = one && end ? std::min(one, end) : std::max(one, end);
    }
    if (!end)
    {
        pause_timer.reset();
        return;
    }
    pause_timer = dependencies.timers.schedule(*end,
                                               [this]
                                               {
                                                   place_all_queued_requests();
                                                   schedule_pause_end();
                                               });
}

bool traffic_state::has_memory_for(std::size_t bytes) const
{
    return dependencies.memory == nullptr ||
           dependencies.memory->has_room(0, static_cast<std::int64_t>(bytes));
}

bool traffic_state::may_buffer_response(std::size_t bytes) const
{
    return bytes < settings.max_buffered_bytes && has_memory_for(bytes);
}

bool traffic_state::may_hold_event(std::size_t bytes) const
{
    return bytes <= ordinary_event_bytes ||
           (bytes <= settings.max_buffered_bytes && has_memory_for(bytes));
}

void traffic_state::erase_exchange(std::uint64_t exchange_id)
{
    exchanges.erase(exchange_id);
}

bool traffic_state::prepaid_total_covers(const std::string& account,
                                         std::int64_t tokens) const
{
    const auto prepaid_total = prepaid_totals.find(account);
    const domain::prepaid_balance own = ledger.balance(account);
    const auto account_state = fleet.accounts.find(account);
    const std::int64_t peers_spent = account_state == fleet.accounts.end()
                                         ? 0
                                         : account_state->second.peers_spent;
    const std::int64_t total_tokens =
        prepaid_total == prepaid_totals.end() ? 0 : prepaid_total->second;
    return total_tokens - own.used - own.held - peers_spent >= tokens;
}

bool traffic_state::may_obtain_tokens(const std::string& account,
                                      std::int64_t tokens) const
{
    if (ledger.balance(account).free() >= tokens)
    {
        // The witnesses have not confirmed the spending yet.
        return true;
    }
    const auto prepaid_total = prepaid_totals.find(account);
    const auto account_state = fleet.accounts.find(account);
    if (prepaid_total == prepaid_totals.end() ||
        account_state == fleet.accounts.end())
    {
        return true;
    }
    if (!account_state->second.is_holder)
    {
        return account_state->second.peers_free >= tokens ||
               fleet.can_peer_reach_store;
    }
    const std::int64_t ungranted =
        prepaid_total->second - account_state->second.granted_in_all;
    return (!fleet.store_unavailable_since && ungranted >= tokens) ||
           account_state->second.peers_free / 2 >= tokens;
}

bool traffic_state::is_holder(const std::string& account) const
{
    const auto found = fleet.accounts.find(account);
    return found == fleet.accounts.end() || found->second.is_holder;
}

void traffic_state::record_upstream_end(
    const std::vector<domain::suspect_id>& ids, const domain::observed_end& end)
{
    const bool is_repeated =
        crashing_parts.record_end(ids, end, dependencies.clock.steady_now());
    log_blocked();
    if (is_repeated && suspicion_handler)
    {
        suspicion_handler();
    }
}

void traffic_state::log_blocked()
{
    const auto log_change =
        [this](log_event event, std::size_t& logged, std::size_t blocked)
    {
        if (blocked == logged)
        {
            return;
        }
        dependencies.log.write(
            log_level::warning, event,
            {{"blocked", static_cast<std::int64_t>(blocked)},
             {"previous", static_cast<std::int64_t>(logged)}});
        logged = blocked;
    };
    log_change(log_event::prompt_parts_blocked, blocked_parts,
               crashing_parts.blocked_count(domain::suspect_kind::prompt_part));
    log_change(log_event::requests_blocked, blocked_requests,
               crashing_parts.blocked_count(domain::suspect_kind::request));
}

void traffic_state::request_tokens()
{
    const ports::steady_time now = dependencies.clock.steady_now();
    if (!token_demand_handler ||
        (tokens_requested_at &&
         now - *tokens_requested_at < token_request_interval))
    {
        return;
    }
    tokens_requested_at = now;
    token_demand_handler();
}

} // namespace turmeric::drivers
