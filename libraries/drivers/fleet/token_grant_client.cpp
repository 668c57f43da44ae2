#include "libraries/drivers/fleet/token_grant_client.hpp"

#include "libraries/codecs/fleet/prepaid_record_codec.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace turmeric::drivers
{

namespace
{

/// The delay before the next call after a failed one.
constexpr std::chrono::milliseconds retry_delay{300};
/// The minimum interval between changes while no request lacks tokens. It
/// batches the changes of several accounts.
constexpr std::chrono::milliseconds change_interval{1'000};
/// The minimum interval while requests wait for tokens or this router leaves.
constexpr std::chrono::milliseconds urgent_interval{100};
/// How often a refused change is planned again from the records that the
/// refusal returned, before the next adjustment of grants.
constexpr int max_immediate_retries = 4;
/// The store counts as unavailable while a call is pending for longer.
constexpr std::chrono::milliseconds max_response_time{600};

/// Returns a record that grants nothing more. It replaces the record of a
/// release that did not know the eras of the store, so that routers of that
/// release begin no record of their own.
domain::prepaid_record close_record(domain::prepaid_record record)
{
    record.granted_in_all = std::numeric_limits<std::int64_t>::max() / 2;
    return record;
}

/// Returns whether requests wait for tokens that only the store can provide.
bool is_any_request_waiting(
    const std::map<std::string, account_token_demand>& token_demands)
{
    return std::any_of(token_demands.begin(), token_demands.end(),
                       [](const auto& entry)
                       {
                           const account_token_demand& demand = entry.second;
                           return demand.lacking > 0 &&
                                  (demand.is_holder || !demand.can_borrow);
                       });
}

} // namespace

struct token_grant_client::state : std::enable_shared_from_this<state>
{
    state(ports::asynchronous_store& the_store, const ports::clock& the_clock,
          logger& the_log, std::string incarnation)
        : store(the_store)
        , clock(the_clock)
        , log(the_log)
        , planner(the_clock, std::move(incarnation))
        , last_response_at(clock.steady_now())
    {
    }

    void read_all(std::function<void()> then);
    /// Continues in the era of the store if it is another one.
    void follow_era();
    void load_record(const ports::key_value& entry);
    /// Adds the change of one account to a change of the store.
    void add_to(ports::store_change& change, planned_grant& planned);
    void commit(std::vector<planned_grant> changes);
    /// `sent_fence` is the value of `fence` when the changes were sent.
    void on_committed(const std::vector<planned_grant>& changes,
                      std::int64_t sent_fence,
                      result<ports::change_outcome> response);
    void on_refused(const std::vector<planned_grant>& changes,
                    const ports::change_conflict& refused);
    /// Plans the changes for the demands of the present adjustment and commits
    /// them.
    void commit_planned_changes();
    /// Returns the demands of the present adjustment, less what was granted
    /// since its start.
    [[nodiscard]] std::map<std::string, account_token_demand>
    remaining_demands() const;
    void on_applied(const std::vector<planned_grant>& changes,
                    ports::revision at);
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
    grant_planner planner;
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

void token_grant_client::state::follow_era()
{
    const ports::store_era era = store.eras().current();
    if (planner.era() == era)
    {
        return;
    }
    if (planner.era() != 0)
    {
        restored_at = clock.steady_now();
    }
    planner.begin_era(era);
    is_stale = true;
    ++fence;
}

void token_grant_client::state::load_record(const ports::key_value& entry)
{
    result<domain::prepaid_record> read =
        codecs::read_prepaid_record(entry.value);
    if (!read)
    {
        log.write(log_level::error, log_event::document_unreadable,
                  {{"key", entry.key}, {"reason", read.failure().detail}});
        return;
    }
    const std::optional<prepaid_record_key> key = read_record_key(entry.key);
    if (!key)
    {
        log.write(
            log_level::error, log_event::document_unreadable,
            {{"key", entry.key}, {"reason", std::string("malformed key")}});
        return;
    }
    const std::int64_t known = planner.own_granted(key->account);
    planner.update_record(*key, entry.modification_revision,
                          std::move(read.value()));
    const std::int64_t found = planner.own_granted(key->account);
    if (found != known)
    {
        log.write(log_level::info, log_event::grant_differs,
                  {{"account", key->account},
                   {"known", known},
                   {"found", found},
                   {"era", store.eras().current()}});
    }
}

void token_grant_client::state::read_all(std::function<void()> then)
{
    record_call_start();
    const std::shared_ptr<state> self = shared_from_this();
    store.list(std::string(prepaid_record_prefix),
               [self, then = std::move(then)](result<ports::key_range> response)
               {
                   self->record_response(bool(response));
                   if (!response)
                   {
                       // A later adjustment of grants reads again.
                       self->retry_at = self->clock.steady_now() + retry_delay;
                       return;
                   }
                   self->follow_era();
                   self->planner.begin_update();
                   for (const ports::key_value& entry :
                        response.value().entries)
                   {
                       self->load_record(entry);
                   }
                   self->is_stale = false;
                   self->records_read_at = self->clock.steady_now();
                   self->notify();
                   then();
               });
}

void token_grant_client::state::record_call_start()
{
    is_call_pending = true;
    call_started_at = clock.steady_now();
}

void token_grant_client::state::record_response(bool is_successful)
{
    is_call_pending = false;
    has_failed = !is_successful;
    if (is_successful)
    {
        last_response_at = clock.steady_now();
    }
}

void token_grant_client::state::commit(std::vector<planned_grant> changes)
{
    ports::store_change change;
    for (planned_grant& planned : changes)
    {
        add_to(change, planned);
    }
    ++attempts;
    record_call_start();
    const std::shared_ptr<state> self = shared_from_this();
    store.commit(change,
                 [self, changes = std::move(changes),
                  sent_fence = fence](result<ports::change_outcome> response)
                 {
                     self->record_response(bool(response));
                     self->on_committed(changes, sent_fence,
                                        std::move(response));
                     if (self->on_returned)
                     {
                         self->return_all_tokens();
                     }
                 });
}

void token_grant_client::state::add_to(ports::store_change& change,
                                       planned_grant& planned)
{
    const planned_record next = planner.apply(planned);
    planned.record = next.record;
    const std::string key = write_record_key({planner.era(), planned.account});
    change.conditions.push_back({key, next.expected_revision});
    change.writes.push_back(
        {key, codecs::write_prepaid_record(next.record), 0});
    for (const ports::store_era earlier : next.earlier_eras)
    {
        const std::string earlier_key =
            write_record_key({earlier, planned.account});
        if (earlier != 0)
        {
            change.deletions.push_back(earlier_key);
            continue;
        }
        change.writes.push_back(
            {earlier_key,
             codecs::write_prepaid_record(close_record(next.record)), 0});
    }
}

void token_grant_client::state::on_committed(
    const std::vector<planned_grant>& changes, std::int64_t sent_fence,
    result<ports::change_outcome> response)
{
    follow_era();
    if (sent_fence != fence)
    {
        planner.mark_void(changes);
        return;
    }
    if (!response)
    {
        log.write(log_level::warning, log_event::commit_failed,
                  {{"code", static_cast<std::int64_t>(response.failure().code)},
                   {"reason", response.failure().detail}});
        is_stale = true;
        retry_at = clock.steady_now() + retry_delay;
        planner.mark_uncertain(changes);
        return;
    }
    if (const ports::change_conflict* refused =
            std::get_if<ports::change_conflict>(&response.value()))
    {
        on_refused(changes, *refused);
        return;
    }
    on_applied(changes, std::get<ports::change_committed>(response.value()).at);
}

void token_grant_client::state::on_refused(
    const std::vector<planned_grant>& changes,
    const ports::change_conflict& refused)
{
    log.write(log_level::info, log_event::grant_conflict,
              {{"attempt", attempts},
               {"records", static_cast<std::int64_t>(changes.size())},
               {"record_age_ms", record_age_ms()}});
    for (const ports::key_value& entry : refused.current)
    {
        load_record(entry);
    }
    records_read_at = clock.steady_now();
    // A refusal does not list keys that do not exist, so the records must be
    // read again if some are missing.
    is_stale = refused.current.size() < changes.size();
    notify();
    ++conflicts;
    if (!is_stale && !on_returned && conflicts <= max_immediate_retries)
    {
        commit_planned_changes();
    }
}

std::map<std::string, account_token_demand>
token_grant_client::state::remaining_demands() const
{
    std::map<std::string, account_token_demand> remaining = demands;
    const std::map<std::string, grant_summary> now = planner.grant_summaries();
    for (auto& [account, demand] : remaining)
    {
        const auto before = grants_at_start.find(account);
        const auto granted = now.find(account);
        if (before == grants_at_start.end() || granted == now.end())
        {
            continue;
        }
        const std::int64_t newly_granted = granted->second.cumulative_granted -
                                           before->second.cumulative_granted;
        demand.free += newly_granted;
        demand.lacking =
            std::max<std::int64_t>(0, demand.lacking - newly_granted);
    }
    return remaining;
}

void token_grant_client::state::commit_planned_changes()
{
    std::map<std::string, std::int64_t> ignored;
    std::vector<planned_grant> changes =
        planner.plan_changes(remaining_demands(), is_leaving, ignored);
    if (!changes.empty())
    {
        commit(std::move(changes));
    }
}

void token_grant_client::state::on_applied(
    const std::vector<planned_grant>& changes, ports::revision at)
{
    for (const planned_grant& planned : changes)
    {
        const grant_summary summary = planner.record_committed(planned, at);
        log.write(log_level::info, log_event::grant_changed,
                  {{"account", planned.account},
                   {"tokens", planned.tokens},
                   {"granted", summary.cumulative_granted},
                   {"granted_in_all", summary.granted_in_all},
                   {"revision", at},
                   {"era", store.eras().current()},
                   {"attempts", attempts},
                   {"record_age_ms", record_age_ms()}});
    }
    attempts = 0;
    if (applied)
    {
        std::vector<std::string> accounts;
        for (const planned_grant& planned : changes)
        {
            accounts.push_back(planned.account);
        }
        applied(accounts);
    }
    notify();
}

std::int64_t token_grant_client::state::record_age_ms() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               clock.steady_now() - records_read_at)
        .count();
}

void token_grant_client::state::notify()
{
    if (changed)
    {
        changed();
    }
}

token_grant_client::token_grant_client(ports::asynchronous_store& store,
                                       const ports::clock& clock, logger& log,
                                       std::string incarnation)
    : m_state(
          std::make_shared<state>(store, clock, log, std::move(incarnation)))
{
    const std::weak_ptr<state> weak = m_state;
    store.eras().add_listener(
        [weak](ports::store_era)
        {
            if (const std::shared_ptr<state> self = weak.lock())
            {
                self->follow_era();
            }
        });
}

token_grant_client::~token_grant_client()
{
    m_state->changed = nullptr;
    m_state->applied = nullptr;
}

void token_grant_client::on_change(std::function<void()> changed)
{
    m_state->changed = std::move(changed);
}

void token_grant_client::on_applied(
    std::function<void(const std::vector<std::string>&)> applied)
{
    m_state->applied = std::move(applied);
}

domain::granted_totals& token_grant_client::totals()
{
    return m_state->planner.totals();
}

void token_grant_client::allow_new_records(bool is_allowed)
{
    m_state->planner.allow_new_records(is_allowed);
    if (is_allowed)
    {
        m_state->restored_at.reset();
    }
}

void token_grant_client::fence()
{
    ++m_state->fence;
    m_state->is_stale = true;
}

void token_grant_client::set_prepaid_totals(
    std::map<std::string, std::int64_t> prepaid)
{
    m_state->planner.set_prepaid_totals(std::move(prepaid));
}

void token_grant_client::set_members(std::set<std::string> members)
{
    m_state->planner.set_members(std::move(members));
}

bool token_grant_client::state::is_too_soon(bool is_urgent) const
{
    const ports::steady_time now = clock.steady_now();
    if (retry_at && now < *retry_at)
    {
        return true;
    }
    const std::chrono::milliseconds interval =
        is_urgent ? urgent_interval : change_interval;
    return !is_stale && last_change_at && now - *last_change_at < interval;
}

std::map<std::string, std::int64_t> token_grant_client::adjust_grants(
    const std::map<std::string, account_token_demand>& token_demands,
    bool is_leaving)
{
    std::map<std::string, std::int64_t> surplus;
    state& self = *m_state;
    self.planner.record_usage(token_demands);
    if (self.is_call_pending || !self.planner.has_prepaid_totals() ||
        self.is_too_soon(is_leaving || is_any_request_waiting(token_demands)))
    {
        return surplus;
    }
    if (!self.is_stale &&
        self.planner.plan_changes(token_demands, is_leaving, surplus).empty())
    {
        return surplus;
    }
    self.last_change_at = self.clock.steady_now();
    self.demands = token_demands;
    self.grants_at_start = self.planner.grant_summaries();
    self.is_leaving = is_leaving;
    self.conflicts = 0;
    // Other routers change the same records, and the store refuses a change
    // that is based on an outdated record. The records are therefore read and
    // the changes are planned again.
    const std::shared_ptr<state> shared = m_state;
    self.read_all([shared] { shared->commit_planned_changes(); });
    return surplus;
}

void token_grant_client::add_pending_return(const std::string& account,
                                            std::int64_t tokens)
{
    m_state->planner.add_pending_return(account, tokens);
}

void token_grant_client::state::return_all_tokens()
{
    if (is_call_pending)
    {
        // The completion of the pending call continues the return.
        return;
    }
    if (is_stale)
    {
        const std::shared_ptr<state> self = shared_from_this();
        read_all([self] { self->return_all_tokens(); });
        return;
    }
    std::vector<planned_grant> changes = planner.plan_returns();
    if (changes.empty())
    {
        if (const auto done = std::exchange(on_returned, nullptr))
        {
            done();
        }
        return;
    }
    commit(std::move(changes));
}

void token_grant_client::return_tokens(std::function<void()> done)
{
    m_state->on_returned = std::move(done);
    m_state->return_all_tokens();
}

bool token_grant_client::can_grant(const std::string& account,
                                   std::int64_t tokens) const
{
    return !m_state->is_stale &&
           m_state->planner.has_remaining_tokens(account, tokens);
}

std::optional<ports::steady_time> token_grant_client::unavailable_since() const
{
    const state& self = *m_state;
    if (self.restored_at)
    {
        return self.restored_at;
    }
    const bool is_overdue =
        self.is_call_pending &&
        self.clock.steady_now() - self.call_started_at > max_response_time;
    if (!self.has_failed && !is_overdue)
    {
        return std::nullopt;
    }
    return self.last_response_at;
}

std::map<std::string, grant_summary> token_grant_client::grant_summaries() const
{
    return m_state->planner.grant_summaries();
}

} // namespace turmeric::drivers
