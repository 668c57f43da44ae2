#pragma once

#include "libraries/core/logger.hpp"
#include "libraries/drivers/exchange/fleet_view.hpp"
#include "libraries/drivers/fleet/grant_planner.hpp"
#include "libraries/ports/asynchronous_store.hpp"
#include "libraries/ports/clock.hpp"
#include "libraries/ports/timer_queue.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace turmeric::drivers
{

/// Requests prepaid tokens from the store for one router and returns unused
/// ones. Granted tokens count as spent in the store, so the loss of routers
/// cannot make an account exceed its total. After a change whose outcome is
/// unknown, the records are read again before the next change. Used on the
/// thread of the store only.
class token_grant_client
{
public:
    /// The router runs as `incarnation` on `vm`. Precondition: the store, the
    /// clock and the logger outlive the client.
    token_grant_client(ports::asynchronous_store& store,
                       const ports::clock& clock, logger& log,
                       const std::string& incarnation, std::string vm);
    ~token_grant_client();
    token_grant_client(const token_grant_client&) = delete;
    token_grant_client& operator=(const token_grant_client&) = delete;

    /// Calls `changed` whenever the grants may have changed.
    void on_change(std::function<void()> changed);

    /// Calls `applied` with the accounts of each change that the store has
    /// confirmed, before `changed` reports the grants.
    void on_applied(
        std::function<void(const std::vector<std::string>& accounts)> applied);

    /// The latest granted totals, which other routers' reports may complete.
    [[nodiscard]] domain::granted_totals& totals();

    /// The limits of what this router spends of its grants.
    [[nodiscard]] domain::spending_limits& limits();

    /// Adds what a witness tells of an earlier incarnation on this VM, so that
    /// its grants can be closed.
    void add_report(const std::string& witness, const std::string& incarnation,
                    const std::string& account,
                    const domain::spending_report& report);

    /// Returns the witnesses that can tell of earlier incarnations on this VM,
    /// with the incarnations and accounts to ask for.
    [[nodiscard]] std::map<std::string,
                           std::vector<std::pair<std::string, std::string>>>
    list_inquiries() const;

    /// Sets whether accounts without a record in this era of the store can
    /// begin one.
    void allow_new_records(bool is_allowed);

    /// Accepts no grants of a change that is under way, and reads the records
    /// before the next one: the store may have been restored.
    void fence();

    /// Sets the prepaid totals in force, by account.
    void set_prepaid_totals(std::map<std::string, std::int64_t> prepaid);

    /// Sets the registered router incarnations, including this one.
    void set_members(std::set<std::string> members);

    /// Compares what the accounts need with their grants, and starts a change
    /// in the store if tokens are to be requested or returned. Starts no call
    /// while another one is pending. Returns the surplus tokens of accounts
    /// that have more than they need.
    std::map<std::string, std::int64_t> adjust_grants(
        const std::map<std::string, account_token_demand>& token_demands,
        bool is_leaving);

    /// Queues tokens that this router no longer counts as its own. The next
    /// adjustment of grants returns them to the store.
    void add_pending_return(const std::string& account, std::int64_t tokens);

    /// Returns all queued tokens now. `done` is called after the store has
    /// confirmed their return, so not while the store is unavailable.
    void return_tokens(std::function<void()> done);

    /// Returns whether at least `tokens` of an account are not granted yet and
    /// the records read last are still valid.
    [[nodiscard]] bool can_grant(const std::string& account,
                                 std::int64_t tokens) const;

    /// Returns the time of the store's last successful response if the last
    /// call failed, the pending one is overdue, or the store was restored and
    /// grants nothing yet; nothing otherwise.
    [[nodiscard]] std::optional<ports::steady_time> unavailable_since() const;

    /// Returns the grants by account.
    [[nodiscard]] std::map<std::string, grant_summary> grant_summaries() const;

private:
    struct state;

    std::shared_ptr<state> m_state;
};

} // namespace turmeric::drivers
