#pragma once

#include "libraries/core/logger.hpp"
#include "libraries/domain/admission/waiting_line.hpp"
#include "libraries/domain/callers/route_table.hpp"
#include "libraries/domain/placement/upstream_board.hpp"
#include "libraries/domain/prepaid/prepaid_ledger.hpp"
#include "libraries/domain/retry/retry_window.hpp"
#include "libraries/drivers/exchange/fleet_view.hpp"
#include "libraries/drivers/exchange/traffic_dialect.hpp"
#include "libraries/drivers/exchange/traffic_metrics.hpp"
#include "libraries/drivers/exchange/traffic_settings.hpp"
#include "libraries/ports/caller_channel.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/random_source.hpp"
#include "libraries/ports/timer_queue.hpp"
#include "libraries/ports/upstream_transport.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace turmeric::drivers
{

class exchange;
class upstream_attempt;

/// What the traffic desk works with. All outlive it.
struct traffic_parts
{
    ports::clock& clock;
    ports::timer_queue& timers;
    ports::upstream_transport& transport;
    ports::random_source& random;
    const traffic_dialect& dialect;
    turmeric::logger& log;
    traffic_metrics& metrics;
};

/// Takes callers' requests and owns what they share on the traffic thread:
/// the declarations in force, the upstreams, the prepaid ledger and the line
/// of waiting requests. Used on the traffic thread only.
class traffic_desk final : public ports::request_acceptor
{
public:
    /// Precondition: all of `parts` outlive the desk.
    traffic_desk(const traffic_parts& parts, traffic_settings settings);
    ~traffic_desk() override;

    /// Answers a request, or refuses it at once.
    std::shared_ptr<ports::exchange_in_flight>
    accept(ports::arrived_request request,
           std::shared_ptr<ports::caller_channel> channel) override;

    /// Puts declarations in force.
    void set_routes(std::shared_ptr<const domain::route_table> routes);

    /// Sets which upstreams there are.
    void set_upstreams(const std::vector<domain::upstream_entry>& entries);

    /// Sets what is known of the other routers.
    void set_fleet(fleet_view view);

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
    friend class exchange;
    friend class upstream_attempt;

    /// A request that waits for prepaid tokens.
    struct waiting_hold
    {
        std::shared_ptr<exchange> who;
        std::int64_t tokens = 0;
    };

    [[nodiscard]] std::optional<error> find_refusal_to_all() const;
    void serve_line(const std::string& service);
    void serve_lines();
    void retry_holds(const std::string& account);
    void leave_holds(const std::string& account, const exchange& who);
    void forget(std::uint64_t number);
    [[nodiscard]] bool covers(const std::string& account,
                              std::int64_t tokens) const;
    /// Tells whether a grant or a loan for a request may come soon.
    [[nodiscard]] bool may_get(const std::string& account,
                               std::int64_t tokens) const;
    void ask_for_tokens();

    traffic_parts m_parts;
    traffic_settings m_settings;
    std::shared_ptr<const domain::route_table> m_routes;
    domain::upstream_board m_board;
    domain::prepaid_ledger m_ledger;
    domain::waiting_line m_line;
    domain::retry_window m_retries;
    fleet_view m_fleet;
    std::map<std::uint64_t, std::shared_ptr<exchange>> m_exchanges;
    std::map<std::string, std::vector<waiting_hold>> m_waiting_holds;
    /// What was released, by account.
    std::map<std::string, std::int64_t> m_released;
    std::function<void()> m_need;
    std::optional<ports::steady_time> m_asked_at;
    /// What the accounts have paid for in all.
    std::map<std::string, std::int64_t> m_prepaid;
    std::optional<ports::steady_time> m_refuse_from;
    std::uint64_t m_next_number = 1;
};

} // namespace turmeric::drivers
