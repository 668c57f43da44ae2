#pragma once

#include "libraries/core/error.hpp"
#include "libraries/domain/callers/caller_request.hpp"
#include "libraries/drivers/exchange/fleet_view.hpp"
#include "libraries/drivers/exchange/traffic_state.hpp"
#include "libraries/ports/caller_channel.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace turmeric::drivers
{

/// Accepts or refuses callers' requests, and applies the updates of the control
/// thread to the traffic. Used on the traffic thread only.
class traffic_dispatcher final : public ports::request_handler
{
public:
    /// Precondition: all of `dependencies` outlive the dispatcher.
    traffic_dispatcher(const traffic_state_dependencies& dependencies,
                       traffic_settings settings);
    ~traffic_dispatcher() override;

    /// Starts an exchange for a request, or refuses the request at once and
    /// returns null.
    std::shared_ptr<ports::exchange_in_flight>
    accept(ports::received_request request,
           std::shared_ptr<ports::caller_channel> channel) override;

    /// Sets the routes and accounts that apply to new requests.
    void set_routes(std::shared_ptr<const domain::route_table> routes);

    /// Replaces the list of upstreams.
    void set_upstreams(const std::vector<domain::upstream_entry>& entries);

    /// Updates the state of the other routers, the store and the grants.
    void set_fleet(fleet_view view);

    /// Adds what a peer has observed of the upstreams.
    void merge_observations(const domain::upstream_observations& observations);

    /// Sets the rate limits of retries. The counts start from zero if the
    /// limits have changed.
    void set_retry_limits(const domain::retry_rate_limits& limits);

    /// Sets for how long requests are accepted after the start of a shutdown.
    void set_stop_accepting_after(std::chrono::milliseconds time);

    /// Starts the shutdown: new requests are refused once
    /// `traffic_settings::stop_accepting_after` has passed.
    void stop();

    /// Sets the action that is called when an overload of this router begins or
    /// ends.
    void set_overload_handler(std::function<void(bool is_overloaded)> action);

    /// Returns the meter for what reads and writes the traffic's connections.
    [[nodiscard]] domain::link_meter& link_meter();

    /// Records how much later than it was due the traffic thread ran an update.
    void record_loop_delay(std::chrono::nanoseconds delay);

    /// Returns the state of the traffic for the peers and the store.
    [[nodiscard]] traffic_digest digest();

    /// Sets an action that is called when a request lacks prepaid tokens.
    void set_token_demand_handler(std::function<void()> action);

    /// Sets an action that is called when peers should soon learn of prompt
    /// parts that crash upstreams.
    void set_suspicion_handler(std::function<void()> action);

    /// Sets the action that makes the control thread tell the peers at once
    /// that a brittle upstream has turned a request away.
    void set_rejection_handler(std::function<void()> action);

    /// Removes up to `requested` free tokens of an account, to return them to
    /// the store; they no longer count as granted to this router. Returns how
    /// many were removed.
    std::int64_t release(const std::string& account, std::int64_t requested);

    /// Does the same to pass spendable tokens on to another holder.
    std::int64_t pass_on(const std::string& account, std::int64_t requested);

    /// Lends up to `requested` free tokens of an account to a peer that holds
    /// none of it; none if the tokens are spread over an outage of the store
    /// and too many are spent. Returns how many were lent.
    std::int64_t lend(const std::string& account, std::int64_t requested);

    /// Refuses the requests that wait for tokens of an account.
    void refuse_pending_holds(const std::string& account);

private:
    // traffic_dispatcher_overload.cpp: more requests than the VM carries.
    /// Decides anew whether this router is overloaded, and logs a change.
    void update_overload();
    void show_link_use();
    /// Returns why a request is refused to leave room for others, if so.
    [[nodiscard]] std::optional<error> find_overload_refusal() const;
    /// Starts or stops the pacing of prepaid tokens during a store outage.
    void update_outage_pacing();
    /// Returns whether the shutdown has come so far that requests are refused.
    [[nodiscard]] bool is_refusing() const;
    /// Returns why this router accepts no request at all now, if so.
    [[nodiscard]] std::optional<error> find_general_refusal() const;
    /// Returns why `request` is refused, if so.
    [[nodiscard]] std::optional<error>
    find_refusal(const domain::caller_request& request) const;
    /// Returns why the memory left does not allow for one more request, if so.
    [[nodiscard]] std::optional<error> find_memory_refusal() const;
    /// Returns why a request is refused whose body was not received.
    [[nodiscard]] static std::optional<error>
    find_body_refusal(const ports::received_request& request);
    void refuse(ports::caller_channel& channel, const error& failure,
                const domain::caller_request& request);

    traffic_state m_state;
    std::function<void(bool)> m_overload_handler;
};

} // namespace turmeric::drivers
