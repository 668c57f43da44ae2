#pragma once

#include "libraries/domain/budget/spend_rate.hpp"
#include "libraries/domain/prepaid/granted_totals.hpp"
#include "libraries/domain/prepaid/own_grant_history.hpp"
#include "libraries/domain/prepaid/predecessor_grants.hpp"
#include "libraries/domain/prepaid/prepaid_record.hpp"
#include "libraries/domain/prepaid/spending_limits.hpp"
#include "libraries/drivers/exchange/fleet_view.hpp"
#include "libraries/drivers/fleet/prepaid_record_key.hpp"
#include "libraries/ports/asynchronous_store.hpp"
#include "libraries/ports/clock.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace turmeric::drivers
{

/// The grants of one account, as of the last state read from the store.
struct grant_summary
{
    /// Total of the tokens ever granted to this router, including those that
    /// it has returned.
    std::int64_t cumulative_granted = 0;
    /// Total of the tokens granted to all routers, less those returned.
    std::int64_t granted_in_all = 0;
    /// Recent consumption of this router.
    double tokens_per_second = 0;
};

/// The grant of an earlier incarnation on this VM that a change closes.
struct closed_grant
{
    std::string incarnation;
    /// Tokens that were granted to it.
    std::int64_t granted = 0;
    /// The part of them that can be granted again.
    std::int64_t freed = 0;
};

/// A planned change of this router's grant for one account. Several of them
/// are committed to the store in one change.
struct planned_grant
{
    std::string account;
    /// Tokens to request or, if negative, to return.
    std::int64_t tokens = 0;
    /// Tokens that this router has and the record does not count, as it was
    /// begun after a restore of the store without this router.
    std::int64_t uncounted = 0;
    /// The account's record as it was sent with this change.
    domain::prepaid_record record;
    /// Tokens that the change adds to the reserve for what a restore of the
    /// store has undone.
    std::int64_t reserved = 0;
    std::vector<closed_grant> closed = {};
};

/// An account's record as it is after a planned change, and the revision that
/// the change expects in the store.
struct planned_record
{
    ports::revision expected_revision = 0;
    domain::prepaid_record record;
    /// The earlier eras of which the store still has a record.
    std::set<ports::store_era> earlier_eras;
    /// As in `planned_grant`.
    std::int64_t reserved = 0;
    std::vector<closed_grant> closed = {};
};

/// Plans which tokens one router requests from the store and which it returns,
/// from the accounts' records and its own consumption. Makes no calls to the
/// store. Not thread safe.
class grant_planner
{
public:
    /// `incarnation` runs on `vm`. Precondition: the clock outlives the
    /// planner.
    grant_planner(const ports::clock& clock, std::string incarnation,
                  std::string vm);

    /// Plans for an era of the store from now on. The records of that era are
    /// not known yet and cannot be begun, and changes whose outcome is unknown
    /// never count.
    void begin_era(ports::store_era era);

    /// Forgets which earlier records the store has, before all records of the
    /// present era are updated from it.
    void begin_update();

    /// Returns the era for which changes are planned.
    [[nodiscard]] ports::store_era era() const;

    /// Sets whether accounts without a record in this era can begin one. Until
    /// then their grants stay as they are.
    void allow_new_records(bool is_allowed);

    /// The latest granted totals, which other routers' reports may complete.
    [[nodiscard]] domain::granted_totals& totals();

    /// The limits of what this router spends.
    [[nodiscard]] domain::spending_limits& limits();

    /// What is known of the earlier incarnations on this VM.
    [[nodiscard]] domain::predecessor_grants& predecessors();

    /// Returns the accounts in which the records have grants of earlier
    /// incarnations on this VM, by incarnation.
    [[nodiscard]] std::map<std::string, std::set<std::string>>
    list_predecessors() const;

    /// Sets the prepaid totals in force, by account.
    void set_prepaid_totals(std::map<std::string, std::int64_t> prepaid);

    /// Returns whether any account has a prepaid total.
    [[nodiscard]] bool has_prepaid_totals() const;

    /// Sets the registered router incarnations, including this one.
    void set_members(std::set<std::string> members);

    /// Takes over an account's record of the era `era` as it is in the store.
    void update_record(const prepaid_record_key& key, ports::revision revision,
                       domain::prepaid_record record);

    /// Measures the consumption. Precondition: `used` and `lent` never
    /// decrease.
    void record_usage(
        const std::map<std::string, account_token_demand>& token_demands);

    /// Returns the tokens to request and to return now, for as many accounts
    /// as fit into one change, and adds to `surplus` the tokens that accounts
    /// have beyond their need.
    [[nodiscard]] std::vector<planned_grant> plan_changes(
        const std::map<std::string, account_token_demand>& token_demands,
        bool is_leaving, std::map<std::string, std::int64_t>& surplus);

    /// Returns the pending returns, for as many accounts as fit into one
    /// change.
    [[nodiscard]] std::vector<planned_grant> plan_returns() const;

    /// Returns the account's record with a planned change applied to it.
    [[nodiscard]] planned_record apply(const planned_grant& planned);

    /// Records that the store has committed a planned change at revision `at`.
    /// Returns the account's new grants.
    grant_summary record_committed(const planned_grant& planned,
                                   ports::revision at);

    /// Records that planned changes never count, as they were sent before the
    /// present era. Tokens to be returned with them are given up: the store may
    /// have counted them as returned.
    void mark_void(const std::vector<planned_grant>& planned);

    /// Records that the outcome of planned changes is unknown.
    void mark_uncertain(const std::vector<planned_grant>& planned);

    /// Adds tokens to those that wait to be returned to the store.
    void add_pending_return(const std::string& account, std::int64_t tokens);

    /// Returns the tokens granted to this router, less those returned.
    [[nodiscard]] std::int64_t own_granted(const std::string& account) const;

    /// Returns whether at least `tokens` of an account are not granted yet,
    /// according to the last record read.
    [[nodiscard]] bool has_remaining_tokens(const std::string& account,
                                            std::int64_t tokens) const;

    /// Returns the grants by account.
    [[nodiscard]] std::map<std::string, grant_summary> grant_summaries() const;

private:
    /// The period over which the consumption is averaged.
    static constexpr std::chrono::seconds rate_window{6};

    struct account_state
    {
        ports::revision revision = 0;
        domain::prepaid_record record;
        /// Whether `record` is of the present era.
        bool is_record_current = false;
        /// The earlier eras of which the store has a record.
        std::set<ports::store_era> earlier_eras;
        domain::own_grant_history history;
        /// As in `planned_grant`.
        std::int64_t uncounted = 0;
        /// Tokens granted to this router according to the store.
        std::int64_t own_granted = 0;
        /// Tokens whose return the store has confirmed.
        std::int64_t returned = 0;
        /// Tokens that wait to be returned.
        std::int64_t pending_return = 0;
        /// The part of `pending_return` that was sent to the store in a change
        /// whose outcome is unknown.
        std::int64_t uncertain_return = 0;
        /// Total of the tokens consumed and lent at the last measurement.
        std::int64_t last_drawn = 0;
        domain::spend_rate rate{rate_window};
        /// The version of the record that set its next ceiling, and when this
        /// router first read that version.
        std::int64_t ceiling_version = -1;
        ports::steady_time ceiling_known_since;
        /// Since when the account is consumed without a pause, as this router
        /// sees it.
        std::optional<ports::steady_time> consumed_since;
        /// What the other routers consume.
        double peers_tokens_per_second = 0;
    };

    /// Returns whether this router may change an account's record now.
    [[nodiscard]] bool can_change(const std::string& account,
                                  const account_state& state) const;
    /// Returns whether a grant of an earlier incarnation on this VM can be
    /// closed.
    [[nodiscard]] bool is_closing_due(const std::string& account,
                                      const account_state& state) const;
    /// Closes the grants in a record that can be closed. Returns them.
    std::vector<closed_grant>
    close_predecessors(const std::string& account,
                       domain::prepaid_record& record) const;
    /// Returns how many accounts fit into one change.
    [[nodiscard]] std::size_t max_changes() const;
    /// Returns the tokens that count as granted to all routers.
    [[nodiscard]] std::int64_t granted_in_all(const std::string& account,
                                              const account_state& state) const;
    /// Returns whether the account goes on from a total that may lack grants,
    /// because no router knows what was granted before the store was restored.
    [[nodiscard]] bool
    may_lack_grants(const account_state& state,
                    const domain::granted_total& total) const;
    /// Returns the reserve with which the account's record is to begin.
    [[nodiscard]] std::int64_t first_reserve(const std::string& account,
                                             const account_state& state) const;
    /// Returns the ceiling that the account's next change obeys.
    [[nodiscard]] domain::grant_ceiling
    ceiling_of(const std::string& account, const account_state& state) const;
    /// Restarts the wait for the record's next ceiling if it has changed.
    void note_ceiling(account_state& state);
    /// Returns whether this router has known the record's next ceiling for long
    /// enough to put it in force.
    [[nodiscard]] bool is_next_ceiling_due(const account_state& state) const;
    /// Returns the ceiling of `record`, which is about to be written.
    [[nodiscard]] domain::grant_ceiling
    ceiling_for(const std::string& account, const account_state& state,
                const domain::prepaid_record& record) const;
    /// Returns the prepaid total in force, or 0.
    [[nodiscard]] std::int64_t
    prepaid_tokens_of(const std::string& account) const;
    /// Returns the record that a change of the account begins with. It has a
    /// reserve if it may lack grants.
    [[nodiscard]] domain::prepaid_record
    base_record(const std::string& account, const account_state& state) const;
    /// Records that an account's record is of the present era from now on, and
    /// finds the changes of this router that it does not count.
    void set_record_current(account_state& state);
    /// Drops returns whose outcome cannot become known any more.
    static void drop_uncertain_return(account_state& state);
    static void set_own_granted(account_state& state, std::int64_t granted);
    [[nodiscard]] double tokens_per_second_of(const account_state& state) const;
    [[nodiscard]] grant_summary summary_of(const std::string& account,
                                           const account_state& state) const;
    [[nodiscard]] domain::grant_demand
    demand_of(const std::string& account, const account_state& state,
              const account_token_demand& token_demand) const;

    const ports::clock& m_clock;
    std::string m_incarnation;
    ports::store_era m_era = 0;
    bool m_are_new_records_allowed = true;
    domain::granted_totals m_totals;
    domain::spending_limits m_limits;
    domain::predecessor_grants m_predecessors;
    std::map<std::string, std::int64_t> m_prepaid_totals;
    std::set<std::string> m_members;
    std::map<std::string, account_state> m_accounts;
};

} // namespace turmeric::drivers
