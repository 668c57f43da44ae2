#pragma once

#include "libraries/core/logger.hpp"
#include "libraries/core/memory_budget.hpp"
#include "libraries/domain/admission/slot_queue.hpp"
#include "libraries/domain/callers/route_table.hpp"
#include "libraries/domain/capacity/overload_monitor.hpp"
#include "libraries/domain/crashing_parts/crashing_part_detector.hpp"
#include "libraries/domain/crashing_parts/unconfirmed_ends.hpp"
#include "libraries/domain/move/version_split.hpp"
#include "libraries/domain/placement/brittle_upstreams.hpp"
#include "libraries/domain/placement/cold_upstreams.hpp"
#include "libraries/domain/placement/named_rate_limits.hpp"
#include "libraries/domain/placement/path_monitor.hpp"
#include "libraries/domain/placement/upstream_load_balancer.hpp"
#include "libraries/domain/placement/upstream_notices.hpp"
#include "libraries/domain/prepaid/outage_pacer.hpp"
#include "libraries/domain/prepaid/prepaid_ledger.hpp"
#include "libraries/domain/retry/retry_rate_limiter.hpp"
#include "libraries/drivers/exchange/fleet_view.hpp"
#include "libraries/drivers/exchange/path_prober.hpp"
#include "libraries/drivers/exchange/traffic_dialect.hpp"
#include "libraries/drivers/exchange/traffic_metrics.hpp"
#include "libraries/drivers/exchange/traffic_settings.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/random_source.hpp"
#include "libraries/ports/secure_digest.hpp"
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

/// The objects that the traffic uses. All of them outlive the traffic.
struct traffic_state_dependencies
{
    ports::clock& clock;
    ports::timer_queue& timers;
    ports::upstream_transport& transport;
    ports::random_source& random;
    const traffic_dialect& dialect;
    turmeric::logger& log;
    traffic_metrics& metrics;
    const ports::secure_digest& digest;
    /// Null if the memory of the traffic is not bounded.
    memory_budget* memory = nullptr;
};

/// A request that waits until prepaid tokens can be held for it.
struct pending_hold
{
    std::shared_ptr<exchange> owner;
    std::int64_t tokens = 0;
};

/// The state that all requests of one router share on the traffic thread,
/// including the queues in which they wait. Used on the traffic thread only.
struct traffic_state
{
    /// Precondition: all of `the_dependencies` outlive the state.
    traffic_state(const traffic_state_dependencies& the_dependencies,
                  traffic_settings the_settings);
    ~traffic_state();
    traffic_state(const traffic_state&) = delete;
    traffic_state& operator=(const traffic_state&) = delete;

    /// Places the requests that wait for slots of a service, in the order of
    /// the queue, until no slot is free.
    void place_queued_requests(const std::string& service);

    /// Calls `place_queued_requests` for every service.
    void place_all_queued_requests();

    /// Retries the holds of the requests that wait for an account's tokens, in
    /// the order of their arrival.
    void retry_holds(const std::string& account);

    /// Removes a request from those that wait for an account's tokens.
    void remove_pending_hold(const std::string& account, const exchange& owner);

    /// Places the requests that wait for slots when the next pause of an
    /// upstream ends, or the next brittle or cold upstream takes a request.
    void schedule_pause_end();

    /// Returns whether a response body of `bytes` may be held until it is
    /// complete; if not, it is forwarded as it arrives.
    [[nodiscard]] bool may_buffer_response(std::size_t bytes) const;

    /// Returns whether `bytes` of an event may be held until it is complete; if
    /// not, its response is given up.
    [[nodiscard]] bool may_hold_event(std::size_t bytes) const;

    /// Removes the exchange of a request that has ended.
    void erase_exchange(std::uint64_t exchange_id);

    /// Returns whether the prepaid total of an account covers `tokens` more,
    /// after the tokens used and held by this router and, by their last
    /// reports, by its peers.
    [[nodiscard]] bool prepaid_total_covers(const std::string& account,
                                            std::int64_t tokens) const;

    /// Returns whether a grant of the store or a loan of a peer may provide
    /// `tokens` soon.
    [[nodiscard]] bool may_obtain_tokens(const std::string& account,
                                         std::int64_t tokens) const;

    /// Returns whether this router obtains grants of an account from the store;
    /// otherwise it borrows what its requests lack.
    [[nodiscard]] bool is_holder(const std::string& account) const;

    /// Records that an upstream ended while it began its response to a request
    /// with these suspects, and makes the peers learn of it if it is not the
    /// first time. Precondition: the end is confirmed.
    void record_upstream_end(const std::vector<domain::suspect_id>& ids,
                             const domain::observed_end& end);

    /// Logs the numbers of blocked prompt parts and requests if they have
    /// changed since the last call.
    void log_blocked();

    /// Notifies the control thread that tokens are lacking, at most once in
    /// each short interval.
    void request_tokens();

    /// Returns whether there is memory for `bytes` more.
    [[nodiscard]] bool has_memory_for(std::size_t bytes) const;

    traffic_state_dependencies dependencies;
    traffic_settings settings;
    std::shared_ptr<const domain::route_table> routes;
    domain::upstream_load_balancer load_balancer;
    domain::prepaid_ledger ledger;
    domain::outage_pacer pacer;
    domain::slot_queue queue;
    domain::retry_rate_limiter retry_limiter;
    domain::overload_monitor overload;
    domain::crashing_part_detector crashing_parts;
    domain::unconfirmed_ends unconfirmed;
    /// As last logged.
    std::size_t blocked_parts = 0;
    std::size_t blocked_requests = 0;
    domain::named_rate_limits rate_limits;
    domain::upstream_notices notices;
    domain::version_split versions;
    domain::brittle_upstreams brittle;
    domain::cold_upstreams cold;
    std::unique_ptr<ports::timer> pause_timer;
    /// Whether this router reaches the upstreams.
    domain::path_monitor paths;
    path_prober prober;
    fleet_view fleet;
    /// By exchange id.
    std::map<std::uint64_t, std::shared_ptr<exchange>> exchanges;
    /// By account, in the order of arrival.
    std::map<std::string, std::vector<pending_hold>> pending_holds;
    /// Tokens that were lent or returned, by account.
    std::map<std::string, std::int64_t> released_tokens;
    /// Total of the tokens that each account has paid for.
    std::map<std::string, std::int64_t> prepaid_totals;
    /// Notifies the control thread; may be empty.
    std::function<void()> token_demand_handler;
    /// Makes the control thread send the suspect parts to the peers; may be
    /// empty.
    std::function<void()> suspicion_handler;
    /// The same for refusals of brittle upstreams, which peers must know at
    /// once; may be empty.
    std::function<void()> rejection_handler;
    std::optional<ports::steady_time> tokens_requested_at;
    /// Set when the router stops.
    std::optional<ports::steady_time> refuse_requests_at;
    std::uint64_t next_exchange_id = 1;
};

} // namespace turmeric::drivers
