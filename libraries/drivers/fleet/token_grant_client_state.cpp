#include "libraries/drivers/fleet/token_grant_client_state.hpp"

#include "libraries/codecs/fleet/prepaid_record_codec.hpp"

#include <algorithm>
#include <limits>

namespace turmeric::drivers
{

namespace
{

/// The delay before the next call after a failed one.
constexpr std::chrono::milliseconds retry_delay{300};
/// How often a refused change is planned again from the records that the
/// refusal returned, before the next adjustment of grants.
constexpr int max_immediate_retries = 4;

/// Returns a record that grants nothing more. It replaces the record of a
/// release that did not know the eras of the store, so that routers of that
/// release begin no record of their own.
domain::prepaid_record close_record(domain::prepaid_record record)
{
    record.granted_in_all = std::numeric_limits<std::int64_t>::max() / 2;
    return record;
}

} // namespace

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
    witnesses.begin_era(era);
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
                   self->read_predecessors(then);
               });
}

void token_grant_client::state::read_predecessors(std::function<void()> then)
{
    if (planner.predecessors().has_witnesses() ||
        planner.list_predecessors().empty())
    {
        then();
        return;
    }
    record_call_start();
    const std::shared_ptr<state> self = shared_from_this();
    store.list(write_witness_prefix(planner.era(), vm),
               [self, then = std::move(then),
                sent_fence = fence](result<ports::key_range> response)
               {
                   self->record_response(bool(response));
                   self->follow_era();
                   if (response && sent_fence == self->fence)
                   {
                       self->planner.predecessors().set_witnesses(
                           read_witnesses(response.value().entries));
                   }
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
    sent_change sent;
    sent.has_witnesses = witnesses.add_to(change);
    sent.grants = std::move(changes);
    sent.fence = fence;
    ++attempts;
    record_call_start();
    const std::shared_ptr<state> self = shared_from_this();
    store.commit(
        change,
        [self, sent = std::move(sent)](result<ports::change_outcome> response)
        {
            self->record_response(bool(response));
            self->on_committed(sent, std::move(response));
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
    planned.reserved = next.reserved;
    planned.closed = next.closed;
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
    const sent_change& sent, result<ports::change_outcome> response)
{
    follow_era();
    if (sent.fence != fence)
    {
        planner.mark_void(sent.grants);
        return;
    }
    if (!response)
    {
        log.write(log_level::warning, log_event::commit_failed,
                  {{"code", static_cast<std::int64_t>(response.failure().code)},
                   {"reason", response.failure().detail}});
        is_stale = true;
        retry_at = clock.steady_now() + retry_delay;
        planner.mark_uncertain(sent.grants);
        return;
    }
    if (const ports::change_conflict* refused =
            std::get_if<ports::change_conflict>(&response.value()))
    {
        on_refused(sent, *refused);
        return;
    }
    on_applied(sent, std::get<ports::change_committed>(response.value()).at);
}

void token_grant_client::state::on_refused(
    const sent_change& sent, const ports::change_conflict& refused)
{
    log.write(log_level::info, log_event::grant_conflict,
              {{"attempt", attempts},
               {"records", static_cast<std::int64_t>(sent.grants.size())},
               {"record_age_ms", record_age_ms()}});
    witnesses.record_refused(refused.current);
    std::size_t records = 0;
    for (const ports::key_value& entry : refused.current)
    {
        if (entry.key.starts_with(prepaid_record_prefix))
        {
            load_record(entry);
            ++records;
        }
    }
    records_read_at = clock.steady_now();
    // A refusal does not list keys that do not exist, so the records must be
    // read again if some are missing.
    is_stale = records < sent.grants.size();
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
    if (!changes.empty() || witnesses.needs_change())
    {
        commit(std::move(changes));
    }
}

void token_grant_client::state::record_applied(const planned_grant& planned,
                                               ports::revision at)
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
    if (planned.reserved > 0)
    {
        log.write(log_level::warning, log_event::lost_grants_reserved,
                  {{"account", planned.account},
                   {"tokens", planned.reserved},
                   {"era", store.eras().current()}});
    }
    for (const closed_grant& closed : planned.closed)
    {
        log.write(log_level::info, log_event::grant_closed,
                  {{"account", planned.account},
                   {"incarnation", closed.incarnation},
                   {"granted", closed.granted},
                   {"freed", closed.freed}});
    }
}

void token_grant_client::state::on_applied(const sent_change& sent,
                                           ports::revision at)
{
    if (sent.has_witnesses)
    {
        witnesses.record_committed(at);
    }
    for (const planned_grant& planned : sent.grants)
    {
        record_applied(planned, at);
    }
    attempts = 0;
    if (applied)
    {
        std::vector<std::string> accounts;
        accounts.reserve(sent.grants.size());
        for (const planned_grant& planned : sent.grants)
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

} // namespace turmeric::drivers
