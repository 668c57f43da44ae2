#pragma once

#include "libraries/core/error.hpp"
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

/// Takes callers' requests and what the control thread tells. Used on the
/// traffic thread only.
class traffic_desk final : public ports::request_handler
{
public:
    /// Precondition: all of `parts` outlive the desk.
    traffic_desk(const traffic_parts& parts, traffic_settings settings);
    ~traffic_desk() override;

    /// Answers a request, or refuses it at once.
    std::shared_ptr<ports::exchange_in_flight>
    accept(ports::received_request request,
           std::shared_ptr<ports::caller_channel> channel) override;

    /// Puts declarations in force.
    void set_routes(std::shared_ptr<const domain::route_table> routes);

    /// Sets which upstreams there are.
    void set_upstreams(const std::vector<domain::upstream_entry>& entries);

    /// Sets what is known of the other routers.
    void set_fleet(fleet_view view);

    /// Sets the bound of repeated sends; what was counted is forgotten if the
    /// bound has changed.
    void set_retries(const domain::retry_rate_limits& limits);

    /// Starts to stop: new requests are refused after a while.
    void stop();

    /// Returns what other routers and the store need to know.
    [[nodiscard]] traffic_digest digest() const;

    /// Calls `action` when a request lacks prepaid tokens.
    void on_need(std::function<void()> action);

    /// Takes up to `wanted` tokens of an account that nobody holds, for a
    /// peer or to give them back; they no longer count as granted here.
    /// Returns how many.
    std::int64_t release(const std::string& account, std::int64_t wanted);

private:
    void pace_stock();
    [[nodiscard]] std::optional<error> find_refusal_to_all() const;
    [[nodiscard]] std::optional<error>
    find_refusal(const domain::caller_request& request) const;
    void refuse(ports::caller_channel& channel, const error& failure,
                const std::string& request_id);

    traffic_state m_state;
};

} // namespace turmeric::drivers
