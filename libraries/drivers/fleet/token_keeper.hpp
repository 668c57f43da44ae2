#pragma once

#include "libraries/core/logger.hpp"
#include "libraries/drivers/exchange/fleet_view.hpp"
#include "libraries/drivers/fleet/grant_book.hpp"
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
#include <vector>

namespace turmeric::drivers
{

/// Gets prepaid tokens from the store for one router. All that the store has
/// granted counts as spent there, so no loss of routers can overspend an
/// account. A change whose reply was lost is read again before the next one.
/// Used on the thread of the store only.
class token_keeper
{
public:
    /// Precondition: all but `incarnation` outlive the keeper.
    token_keeper(ports::asynchronous_store& store, const ports::clock& clock,
                 logger& log, std::string incarnation);
    ~token_keeper();
    token_keeper(const token_keeper&) = delete;
    token_keeper& operator=(const token_keeper&) = delete;

    /// Calls `changed` after each change of a grant.
    void on_change(std::function<void()> changed);

    /// Sets the prepaid totals in force, by account.
    void set_prepaid(std::map<std::string, std::int64_t> prepaid);

    /// Sets which router incarnations there are, this one included.
    void set_members(std::set<std::string> members);

    /// Looks at what the accounts need and asks the store where more is
    /// wanted. No call is made while one is under way. Returns the accounts
    /// that have more than they need, and how much.
    std::map<std::string, std::int64_t>
    review(const std::map<std::string, account_token_demand>& needs,
           bool is_leaving);

    /// Takes tokens that this router no longer counts as its own, to give
    /// them back to the store with the next review.
    void put_back(const std::string& account, std::int64_t tokens);

    /// Gives back now what was put back, and calls `done` once nothing is
    /// left of it; not at all while the store cannot be reached.
    void give_back(std::function<void()> done);

    /// Tells whether the store has so many tokens left of an account and
    /// answers.
    [[nodiscard]] bool can_grant(const std::string& account,
                                 std::int64_t tokens) const;

    /// Returns when the store answered last if its last call failed or one
    /// has been open for too long.
    [[nodiscard]] std::optional<ports::steady_time> silent_since() const;

    /// Returns what is known of the grants, by account.
    [[nodiscard]] std::map<std::string, known_grants> known() const;

private:
    struct state;

    std::shared_ptr<state> m_state;
};

} // namespace turmeric::drivers
