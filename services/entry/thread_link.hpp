#pragma once

#include "libraries/adapters/asio/asio.hpp"
#include "libraries/adapters/asio/caller_server.hpp"
#include "libraries/drivers/exchange/traffic_dispatcher.hpp"
#include "libraries/drivers/fleet/fleet_control.hpp"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace turmeric::entry
{

/// Passes updates and requests from the control thread to the traffic thread,
/// and the results back. An update replaces an earlier one of its kind that is
/// not delivered yet, so the queue between the threads stays bounded.
class thread_link final : public drivers::traffic_link
{
public:
    /// Precondition: the loops and the clock outlive the link.
    thread_link(adapters::asio::io_context& control,
                adapters::asio::io_context& traffic, const ports::clock& clock);

    /// Sets the receivers on the traffic thread. Precondition: neither thread
    /// runs yet; both receivers outlive the link.
    void connect(drivers::traffic_dispatcher& dispatcher,
                 adapters::caller_server& server);

    void set_routes(std::shared_ptr<const domain::route_table> routes) override;
    void set_upstreams(std::vector<domain::upstream_entry> entries) override;
    void set_fleet(drivers::fleet_view view) override;
    void
    merge_observations(domain::upstream_observations observations) override;
    void
    request_digest(std::function<void(drivers::traffic_digest)> done) override;
    void release(const std::string& account, std::int64_t requested,
                 std::function<void(std::int64_t)> done) override;
    void pass_on(const std::string& account, std::int64_t requested,
                 std::function<void(std::int64_t)> done) override;
    void lend(const std::string& account, std::int64_t requested,
              std::function<void(std::int64_t)> done) override;
    void refuse_pending_holds(const std::string& account) override;

private:
    /// The updates and requests that are not delivered to the traffic thread
    /// yet.
    struct pending_updates
    {
        std::shared_ptr<const domain::route_table> routes;
        std::optional<std::vector<domain::upstream_entry>> upstreams;
        std::optional<drivers::fleet_view> fleet;
        std::vector<domain::upstream_observations> observations;
        std::vector<std::function<void(drivers::traffic_digest)>>
            digest_callbacks;
    };

    /// Calls a function of the dispatcher on the traffic thread and passes its
    /// result to `done` on the control thread.
    void take_tokens(std::int64_t (drivers::traffic_dispatcher::*take)(
                         const std::string& account, std::int64_t requested),
                     const std::string& account, std::int64_t requested,
                     std::function<void(std::int64_t)> done);

    /// Posts a delivery to the traffic thread unless one is posted already.
    /// Precondition: the mutex is locked.
    void schedule_delivery();
    /// Applies the pending updates and passes the digest to the waiting
    /// callbacks on the control thread. Called on the traffic thread.
    void deliver();

    adapters::asio::io_context& m_control_loop;
    adapters::asio::io_context& m_traffic_loop;
    const ports::clock& m_clock;
    drivers::traffic_dispatcher* m_dispatcher = nullptr;
    adapters::caller_server* m_server = nullptr;
    std::mutex m_mutex;
    pending_updates m_pending;
    bool m_is_delivery_scheduled = false;
    /// When the delivery was posted that is scheduled.
    ports::steady_time m_scheduled_at{};
};

} // namespace turmeric::entry
