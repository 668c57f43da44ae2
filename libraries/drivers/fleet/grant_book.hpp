#pragma once

#include "libraries/domain/budget/spend_rate.hpp"
#include "libraries/domain/prepaid/prepaid_record.hpp"
#include "libraries/drivers/exchange/fleet_view.hpp"
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

/// What is known of one account's grants.
struct known_grants
{
    /// All that this router was ever granted, also what it gave back.
    std::int64_t ever_granted = 0;
    std::int64_t granted_in_all = 0;
    /// What this router consumes in a second, of late.
    double tokens_per_second = 0;
};

/// One account's part of a change of the store.
struct planned_grant
{
    std::string account;
    /// Tokens to be granted, or given back when negative.
    std::int64_t tokens = 0;
};

/// What a change makes of an account's record, and the revision on which it
/// was planned.
struct planned_record
{
    ports::revision before = 0;
    domain::prepaid_record record;
};

/// What one router knows of the accounts' records in the store, what it
/// consumes, and what it would therefore change. Makes no calls. Not thread
/// safe.
class grant_book
{
public:
    /// Precondition: the clock outlives the book.
    grant_book(const ports::clock& clock, std::string incarnation);

    /// Sets the prepaid totals in force, by account.
    void set_prepaid(std::map<std::string, std::int64_t> prepaid);

    /// Tells whether any account has a total.
    [[nodiscard]] bool has_prepaid() const;

    /// Sets which router incarnations there are, this one included.
    void set_members(std::set<std::string> members);

    /// Takes in a record as the store has it.
    void take(const std::string& account, ports::revision revision,
              domain::prepaid_record record);

    /// Measures what is consumed. Precondition: `used` never falls.
    void note_uses(const std::map<std::string, account_token_demand>& needs);

    /// Returns what to ask for and to give back now, as much as one change
    /// takes, and adds to `surplus` what accounts have beyond their need.
    [[nodiscard]] std::vector<planned_grant>
    plan(const std::map<std::string, account_token_demand>& needs,
         bool is_leaving, std::map<std::string, std::int64_t>& surplus);

    /// Returns what waits to be given back, as much as one change takes.
    [[nodiscard]] std::vector<planned_grant> plan_returns() const;

    /// Returns what a planned grant makes of the record.
    [[nodiscard]] planned_record apply(const planned_grant& planned);

    /// Takes in that a planned grant was made, at that revision. Returns what
    /// is known of the account then.
    known_grants note_made(const planned_grant& planned, ports::revision at);

    /// Takes in that grants may or may not have been made.
    void note_doubt(const std::vector<planned_grant>& planned);

    /// Adds to what waits to be given back.
    void put_back(const std::string& account, std::int64_t tokens);

    /// Tells whether the store has so many tokens left of an account, as far
    /// as is known.
    [[nodiscard]] bool has_left(const std::string& account,
                                std::int64_t tokens) const;

    /// Returns what is known of the grants, by account.
    [[nodiscard]] std::map<std::string, known_grants> known() const;

private:
    /// Over which time consumption is measured.
    static constexpr std::chrono::seconds rate_window{6};

    struct account_state
    {
        ports::revision revision = 0;
        domain::prepaid_record record;
        /// As the store has it.
        std::int64_t own_granted = 0;
        /// What the store took back.
        std::int64_t returned = 0;
        /// What waits to be given back.
        std::int64_t unreturned = 0;
        /// The part of it whose giving back was not answered.
        std::int64_t doubtful = 0;
        std::int64_t last_used = 0;
        domain::spend_rate rate{rate_window};
    };

    static void set_own(account_state& known, std::int64_t granted);
    [[nodiscard]] double rate_of(const account_state& known) const;
    [[nodiscard]] known_grants summary_of(const account_state& known) const;
    [[nodiscard]] domain::grant_demand
    demand_of(const account_state& known,
              const account_token_demand& need) const;

    const ports::clock& m_clock;
    std::string m_incarnation;
    std::map<std::string, std::int64_t> m_prepaid;
    std::set<std::string> m_members;
    std::map<std::string, account_state> m_accounts;
};

} // namespace turmeric::drivers
