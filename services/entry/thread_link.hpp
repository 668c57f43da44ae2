#pragma once

#include "libraries/adapters/asio/asio.hpp"
#include "libraries/adapters/asio/caller_server.hpp"
#include "libraries/drivers/exchange/traffic_desk.hpp"
#include "libraries/drivers/fleet/fleet_control.hpp"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace turmeric::entry
{

/// Carries what the control thread and the traffic thread tell each other.
/// Of what replaces what was told before, only the newest is kept, so the
/// queue between the threads stays bounded.
class thread_link final : public drivers::traffic_link
{
public:
    /// Precondition: the loops outlive the link.
    thread_link(adapters::asio::io_context& control,
                adapters::asio::io_context& traffic);

    /// Sets who hears on the traffic thread. Precondition: no thread runs
    /// yet; both outlive the link.
    void connect(drivers::traffic_desk& desk, adapters::caller_server& server);

    void set_routes(std::shared_ptr<const domain::route_table> routes) override;
    void set_upstreams(std::vector<domain::upstream_entry> entries) override;
    void set_fleet(drivers::fleet_view view) override;
    void ask(std::function<void(drivers::traffic_digest)> done) override;
    void release(const std::string& account, std::int64_t wanted,
                 std::function<void(std::int64_t)> done) override;

private:
    /// What waits for the traffic thread.
    struct pending_updates
    {
        std::shared_ptr<const domain::route_table> routes;
        std::optional<std::vector<domain::upstream_entry>> upstreams;
        std::optional<drivers::fleet_view> fleet;
        std::vector<std::function<void(drivers::traffic_digest)>>
            digest_callbacks;
    };

    void schedule_delivery();
    void deliver();

    adapters::asio::io_context& m_control_loop;
    adapters::asio::io_context& m_traffic_loop;
    drivers::traffic_desk* m_desk = nullptr;
    adapters::caller_server* m_server = nullptr;
    std::mutex m_mutex;
    pending_updates m_pending;
    bool m_is_delivery_scheduled = false;
};

} // namespace turmeric::entry
