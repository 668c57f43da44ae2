#pragma once

#include "libraries/domain/callers/route_table.hpp"
#include "libraries/domain/placement/upstream_entry.hpp"
#include "libraries/drivers/exchange/fleet_view.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace turmeric::drivers
{

/// The control thread's interface to the traffic thread. Thread safe; calls
/// take effect asynchronously.
class traffic_link
{
public:
    traffic_link() = default;
    traffic_link(const traffic_link&) = delete;
    traffic_link& operator=(const traffic_link&) = delete;
    virtual ~traffic_link() = default;

    /// Puts the routes and client accounts of a configuration in force.
    virtual void
    set_routes(std::shared_ptr<const domain::route_table> routes) = 0;

    /// Sets the registered upstreams.
    virtual void set_upstreams(std::vector<domain::upstream_entry> entries) = 0;

    /// Sets the latest state of the store's grants and of the other routers.
    virtual void set_fleet(fleet_view view) = 0;

    /// Adds what a peer has observed of the upstreams.
    virtual void
    merge_observations(domain::upstream_observations observations) = 0;

    /// Calls `done` on the control thread with a digest of the traffic thread's
    /// state.
    virtual void request_digest(std::function<void(traffic_digest)> done) = 0;

    /// Releases up to `requested` tokens that no request holds, for the store.
    /// Calls `done` on the control thread with the number released.
    virtual void release(const std::string& account, std::int64_t requested,
                         std::function<void(std::int64_t)> done) = 0;

    /// Passes up to `requested` spendable tokens on to another holder. Calls
    /// `done` on the control thread with their number.
    virtual void pass_on(const std::string& account, std::int64_t requested,
                         std::function<void(std::int64_t)> done) = 0;

    /// Lends up to `requested` spendable tokens to a peer that holds none of
    /// the account. Calls `done` on the control thread with the number lent.
    virtual void lend(const std::string& account, std::int64_t requested,
                      std::function<void(std::int64_t)> done) = 0;

    /// Refuses the requests that wait for tokens of an account.
    virtual void refuse_pending_holds(const std::string& account) = 0;
};

} // namespace turmeric::drivers
