#pragma once

#include "libraries/drivers/fleet/token_grant_client.hpp"
#include "libraries/drivers/fleet/witness_record.hpp"

#include <utility>

namespace turmeric::drivers
{

/// The records and calls of a `token_grant_client`. Shared with the callbacks
/// of calls, which may outlive the client. Used on the thread of the store
/// only.
struct token_grant_client::state : std::enable_shared_from_this<state>
{
    /// A change of the store that is under way.
    struct sent_change
    {
        std::vector<planned_grant> grants;
        bool has_witnesses = false;
        /// The value of `fence` when it was sent.
        std::int64_t fence = 0;
    };

    state(ports::asynchronous_store& the_store, const ports::clock& the_clock,
          logger& the_log, const std::string& incarnation, std::string the_vm)
        : store(the_store)
        , clock(the_clock)
        , log(the_log)
        , vm(std::move(the_vm))
        , planner(the_clock, incarnation, vm)
        , witnesses(planner.limits(), incarnation)
        , last_response_at(clock.steady_now())
    {
    }

    void read_all(std::function<void()> then);
    /// Reads the witnesses of earlier incarnations on this VM unless they are
    /// known.
    void read_predecessors(std::function<void()> then);
    /// Continues in the era of the store if it is another one.
    void follow_era();
    void load_record(const ports::key_value& entry);
    /// Adds the change of one account to a change of the store.
    void add_to(ports::store_change& change, planned_grant& planned);
    void commit(std::vector<planned_grant> changes);
    void on_committed(const sent_change& sent,
                      result<ports::change_outcome> response);
    void on_refused(const sent_change& sent,
                    const ports::change_conflict& refused);
    /// Plans the changes for the demands of the present adjustment and commits
    /// them.
    void commit_planned_changes();
    /// Returns the demands of the present adjustment, less what was granted
    /// since its start.
    [[nodiscard]] std::map<std::string, account_token_demand>
    remaining_demands() const;
    void on_applied(const sent_change& sent, ports::revision at);
    void record_applied(const planned_grant& planned, ports::revision at);
    [[nodiscard]] std::int64_t record_age_ms() const;
    /// Commits changes until all queued tokens are returned.
    void return_all_tokens();
    [[nodiscard]] bool is_too_soon(bool is_urgent) const;
    void record_call_start();
    void record_response(bool is_successful);
    void notify();

    ports::asynchronous_store& store;
    const ports::clock& clock;
    logger& log;
    std::function<void()> changed;
    std::function<void(const std::vector<std::string>&)> applied;
    std::string vm;
    grant_planner planner;
    witness_record witnesses;
    /// Grows whenever the changes under way become void.
    std::int64_t fence = 0;
    /// When this router found that the store was restored, until the store
    /// grants tokens again.
    std::optional<ports::steady_time> restored_at;
    /// Whether the records must be read from the store before a change.
    bool is_stale = true;
    bool is_call_pending = false;
    ports::steady_time last_response_at;
    ports::steady_time call_started_at;
    /// Whether the last completed call failed.
    bool has_failed = false;
    std::optional<ports::steady_time> retry_at;
    std::optional<ports::steady_time> last_change_at;
    /// When the records were last read or returned by a refused change.
    ports::steady_time records_read_at;
    /// Changes sent since the last one that was applied.
    std::int64_t attempts = 0;
    /// The demands of the present adjustment, and the grants at its start.
    std::map<std::string, account_token_demand> demands;
    std::map<std::string, grant_summary> grants_at_start;
    bool is_leaving = false;
    /// Changes of the present adjustment that the store refused.
    int conflicts = 0;
    /// Called when all queued tokens are returned; set while that is under
    /// way.
    std::function<void()> on_returned;
};

} // namespace turmeric::drivers
