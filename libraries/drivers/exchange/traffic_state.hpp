#pragma once

#include "libraries/core/logger.hpp"
#include "libraries/domain/admission/slot_queue.hpp"
#include "libraries/domain/callers/route_table.hpp"
#include "libraries/domain/placement/upstream_load_balancer.hpp"
#include "libraries/domain/prepaid/outage_pacer.hpp"
#include "libraries/domain/prepaid/prepaid_ledger.hpp"
#include "libraries/domain/retry/retry_window.hpp"
#include "libraries/drivers/exchange/fleet_view.hpp"
#include "libraries/drivers/exchange/traffic_dialect.hpp"
#include "libraries/drivers/exchange/traffic_metrics.hpp"
#include "libraries/drivers/exchange/traffic_settings.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/random_source.hpp"
#include "libraries/ports/timer_queue.hpp"
#include "libraries/ports/upstream_transport.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace turmeric::drivers
{

class exchange;

/// What requests are served with. All outlive the traffic.
struct traffic_dependencies
{
    ports::clock& clock;
    ports::timer_queue& timers;
    ports::upstream_transport& transport;
    ports::random_source& random;
    const traffic_dialect& dialect;
    turmeric::logger& log;
    traffic_metrics& metrics;
};

/// A request that waits for prepaid tokens.
struct pending_hold
{
    std::shared_ptr<exchange> owner;
    std::int64_t tokens = 0;
};

/// What all requests of one router share on the traffic thread, and who of
/// them is next. Used on the traffic thread only.
struct traffic_state
{
    /// Precondition: all of `the_dependencies` outlive the state.
    traffic_state(const traffic_dependencies& the_dependencies,
                  traffic_settings the_settings);
    ~traffic_state();
    traffic_state(const traffic_state&) = delete;
    traffic_state& operator=(const traffic_state&) = delete;

    /// Places the requests that wait for a service, in turn.
    void place_queued_requests(const std::string& service);

    /// Places the requests that wait for any service.
    void place_all_queued_requests();

    /// Lets the requests that wait for an account's tokens try again.
    void retry_holds(const std::string& account);

    /// Takes a request out of those that wait for an account's tokens.
    void remove_pending_hold(const std::string& account, const exchange& owner);

    /// Drops a request that has ended.
    void erase_exchange(std::uint64_t exchange_id);

    /// Tells whether what is left of an account, as far as it is known,
    /// covers a request.
    [[nodiscard]] bool prepaid_total_covers(const std::string& account,
                                            std::int64_t tokens) const;

    /// Tells whether a grant or a loan for a request may come soon.
    [[nodiscard]] bool may_obtain_tokens(const std::string& account,
                                         std::int64_t tokens) const;

    /// Tells the control thread that tokens are lacking.
    void request_tokens();

    traffic_dependencies dependencies;
    traffic_settings settings;
    std::shared_ptr<const domain::route_table> routes;
    domain::upstream_load_balancer load_balancer;
    domain::prepaid_ledger ledger;
    domain::outage_pacer pacer;
    domain::slot_queue queue;
    domain::retry_window retry_limiter;
    fleet_view fleet;
    std::map<std::uint64_t, std::shared_ptr<exchange>> exchanges;
    std::map<std::string, std::vector<pending_hold>> pending_holds;
    /// What was released, by account.
    std::map<std::string, std::int64_t> released_tokens;
    /// What the accounts have paid for in all.
    std::map<std::string, std::int64_t> prepaid_totals;
    std::function<void()> token_demand_handler;
    std::optional<ports::steady_time> tokens_requested_at;
    std::optional<ports::steady_time> refuse_requests_at;
    std::uint64_t next_exchange_id = 1;
};

} // namespace turmeric::drivers
