#include "libraries/drivers/fleet/token_keeper.hpp"

#include "libraries/codecs/fleet/prepaid_record_codec.hpp"
#include "libraries/domain/budget/spend_rate.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::drivers
{

namespace
{

constexpr std::string_view key_prefix = "turmericfront/tokens/";
/// Accounts in one change; the store takes 32 entries.
constexpr std::size_t most_accounts_in_change = 15;
/// With more accounts, grants are asked for when a request comes.
constexpr std::size_t most_accounts_ahead = 64;
constexpr std::chrono::seconds rate_window{6};
/// How long to wait after a failed call.
constexpr std::chrono::milliseconds failure_pause{300};
/// Changes that no request waits for are gathered for so long.
constexpr std::chrono::milliseconds change_interval{1'000};
/// The same while requests wait.
constexpr std::chrono::milliseconds urgent_interval{100};
/// A call that is open for longer says that the store is silent.
constexpr std::chrono::milliseconds usual_answer_time{600};

} // namespace

struct token_keeper::state : std::enable_shared_from_this<state>
{
    struct account
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

    struct planned_change
    {
        std::string name;
        std::int64_t tokens = 0;
    };

    state(ports::asynchronous_store& the_store, const ports::clock& the_clock,
          logger& the_log, std::string the_incarnation)
        : store(the_store)
        , clock(the_clock)
        , log(the_log)
        , incarnation(std::move(the_incarnation))
        , answered_at(clock.steady_now())
    {
    }

    void read_all(std::function<void()> then);
    void take_record(const ports::key_value& entry);
    static void set_own(account& known, std::int64_t granted);
    void note_uses(const std::map<std::string, account_need>& needs);
    /// Returns the tokens that this router consumes in a second.
    [[nodiscard]] double rate_of(const account& known) const;
    [[nodiscard]] std::vector<planned_change> plan_returns() const;
    [[nodiscard]] std::vector<planned_change>
    plan(const std::map<std::string, account_need>& needs, bool is_leaving,
         std::map<std::string, std::int64_t>& surplus);
    void commit(std::vector<planned_change> changes);
    void note_call();
    void note_answer(bool is_good);
    /// Gives back until nothing is left to give back.
    void give_back_all();
    void on_committed(const std::vector<planned_change>& changes,
                      result<ports::change_outcome> got);
    /// Notes which returns may or may not have been made.
    void note_doubt(const std::vector<planned_change>& changes);
    void tell();

    ports::asynchronous_store& store;
    const ports::clock& clock;
    logger& log;
    std::string incarnation;
    std::function<void()> changed;
    std::map<std::string, std::int64_t> prepaid;
    std::set<std::string> members;
    std::map<std::string, account> accounts;
    /// Set while the store's records must be read before a change.
    bool is_stale = true;
    bool is_busy = false;
    ports::steady_time answered_at;
    ports::steady_time called_at;
    /// Whether the last call failed.
    bool is_failing = false;
    std::optional<ports::steady_time> paused_until;
    std::optional<ports::steady_time> changed_at;
    /// Set while all that is left is given back.
    std::function<void()> given_back;
};

void token_keeper::state::take_record(const ports::key_value& entry)
{
    result<domain::prepaid_record> read =
        codecs::read_prepaid_record(entry.value);
    const std::string name = entry.key.substr(key_prefix.size());
    if (!read)
    {
        log.write(log_level::error, log_event::document_unreadable,
                  {{"key", entry.key}, {"reason", read.failure().detail}});
        return;
    }
    account& known = accounts[name];
    known.revision = entry.modified;
    known.record = std::move(read.value());
    const auto own = known.record.granted_to.find(incarnation);
    if (own != known.record.granted_to.end())
    {
        set_own(known, own->second);
        known.doubtful = 0;
        return;
    }
    // Another router has dropped this one's entry, so nothing tells whether
    // the return was made. Made twice it would free tokens that are spent.
    known.unreturned = std::max<std::int64_t>(
        0, known.unreturned - std::exchange(known.doubtful, 0));
}

void token_keeper::state::set_own(account& known, std::int64_t granted)
{
    // Only what this router gave back lowers its own entry.
    const std::int64_t taken =
        std::max<std::int64_t>(0, known.own_granted - granted);
    known.returned += taken;
    known.unreturned = std::max<std::int64_t>(0, known.unreturned - taken);
    known.own_granted = granted;
}

void token_keeper::state::read_all(std::function<void()> then)
{
    note_call();
    const std::shared_ptr<state> self = shared_from_this();
    store.list(std::string(key_prefix),
               [self, then = std::move(then)](result<ports::key_range> got)
               {
                   self->note_answer(bool(got));
                   if (!got)
                   {
                       // A later review reads again.
                       self->paused_until =
                           self->clock.steady_now() + failure_pause;
                       return;
                   }
                   for (const ports::key_value& entry : got.value().entries)
                   {
                       self->take_record(entry);
                   }
                   self->is_stale = false;
                   self->tell();
                   then();
               });
}

void token_keeper::state::note_call()
{
    is_busy = true;
    called_at = clock.steady_now();
}

void token_keeper::state::note_answer(bool is_good)
{
    is_busy = false;
    is_failing = !is_good;
    if (is_good)
    {
        answered_at = clock.steady_now();
    }
}

void token_keeper::state::note_uses(
    const std::map<std::string, account_need>& needs)
{
    for (const auto& [name, need] : needs)
    {
        account& known = accounts[name];
        known.rate.add(need.used - known.last_used, clock.steady_now());
        known.last_used = need.used;
    }
}

double token_keeper::state::rate_of(const account& known) const
{
    constexpr double seconds_per_minute = 60.0;
    return static_cast<double>(known.rate.per_minute(clock.steady_now())) /
           seconds_per_minute;
}

std::vector<token_keeper::state::planned_change>
token_keeper::state::plan(const std::map<std::string, account_need>& needs,
                          bool is_leaving,
                          std::map<std::string, std::int64_t>& surplus)
{
    std::vector<planned_change> changes = plan_returns();
    const bool is_ahead = prepaid.size() <= most_accounts_ahead;
    for (const auto& [name, total] : prepaid)
    {
        const auto found = needs.find(name);
        const account_need need =
            found == needs.end() ? account_need{} : found->second;
        account& known = accounts[name];
        if (known.unreturned > 0 || (!is_ahead && found == needs.end()))
        {
            continue;
        }
        domain::grant_demand demand;
        demand.prepaid_tokens = total;
        demand.granted_in_all = known.record.granted_in_all;
        demand.routers = static_cast<std::int64_t>(members.size());
        demand.free = need.free;
        demand.peers_free = need.peers_free;
        demand.peers_tokens_per_second = static_cast<double>(need.peers_rate);
        demand.tokens_per_second = rate_of(known);
        demand.typical_hold = need.typical_hold;
        demand.lacking = need.lacking;
        demand.is_leaving = is_leaving;
        const std::int64_t tokens = domain::size_grant(demand);
        if (tokens > 0 && changes.size() < most_accounts_in_change)
        {
            changes.push_back({name, tokens});
        }
        if (tokens < 0)
        {
            surplus[name] = -tokens;
        }
    }
    return changes;
}

std::vector<token_keeper::state::planned_change>
token_keeper::state::plan_returns() const
{
    std::vector<planned_change> changes;
    for (const auto& [name, known] : accounts)
    {
        if (known.unreturned > 0 && changes.size() < most_accounts_in_change)
        {
            changes.push_back({name, -known.unreturned});
        }
    }
    return changes;
}

void token_keeper::state::commit(std::vector<planned_change> changes)
{
    ports::store_change change;
    for (const planned_change& planned : changes)
    {
        const account& known = accounts[planned.name];
        const std::string key = std::string(key_prefix) + planned.name;
        const domain::prepaid_record next =
            domain::change_grant(known.record, incarnation, known.own_granted,
                                 planned.tokens, members);
        change.conditions.push_back({key, known.revision});
        change.writes.push_back({key, codecs::write_prepaid_record(next), 0});
    }
    note_call();
    const std::shared_ptr<state> self = shared_from_this();
    store.commit(
        change,
        [self, changes = std::move(changes)](result<ports::change_outcome> got)
        {
            self->note_answer(bool(got));
            self->on_committed(changes, std::move(got));
            if (self->given_back)
            {
                self->give_back_all();
            }
        });
}

void token_keeper::state::on_committed(
    const std::vector<planned_change>& changes,
    result<ports::change_outcome> got)
{
    if (!got)
    {
        log.write(log_level::warning, log_event::commit_failed,
                  {{"code", static_cast<std::int64_t>(got.failure().code)},
                   {"reason", got.failure().detail}});
        is_stale = true;
        paused_until = clock.steady_now() + failure_pause;
        note_doubt(changes);
        return;
    }
    if (const ports::change_refused* refused =
            std::get_if<ports::change_refused>(&got.value()))
    {
        for (const ports::key_value& entry : refused->current)
        {
            take_record(entry);
        }
        // A key that is not among them was removed; only a read tells.
        is_stale = refused->current.size() < changes.size();
        tell();
        return;
    }
    const ports::revision made = std::get<ports::change_made>(got.value()).at;
    for (const planned_change& planned : changes)
    {
        account& known = accounts[planned.name];
        known.record =
            domain::change_grant(std::move(known.record), incarnation,
                                 known.own_granted, planned.tokens, members);
        set_own(known, known.own_granted + planned.tokens);
        known.revision = made;
        log.write(log_level::info, log_event::grant_changed,
                  {{"account", planned.name},
                   {"tokens", planned.tokens},
                   {"granted", known.own_granted},
                   {"granted_in_all", known.record.granted_in_all},
                   {"revision", made}});
    }
    tell();
}

void token_keeper::state::note_doubt(const std::vector<planned_change>& changes)
{
    for (const planned_change& planned : changes)
    {
        if (planned.tokens < 0)
        {
            accounts[planned.name].doubtful = -planned.tokens;
        }
    }
}

void token_keeper::state::tell()
{
    if (changed)
    {
        changed();
    }
}

token_keeper::token_keeper(ports::asynchronous_store& store,
                           const ports::clock& clock, logger& log,
                           std::string incarnation)
    : m_state(
          std::make_shared<state>(store, clock, log, std::move(incarnation)))
{
}

token_keeper::~token_keeper()
{
    m_state->changed = nullptr;
}

void token_keeper::on_change(std::function<void()> changed)
{
    m_state->changed = std::move(changed);
}

void token_keeper::set_prepaid(std::map<std::string, std::int64_t> prepaid)
{
    m_state->prepaid = std::move(prepaid);
}

void token_keeper::set_members(std::set<std::string> members)
{
    m_state->members = std::move(members);
}

std::map<std::string, std::int64_t>
token_keeper::review(const std::map<std::string, account_need>& needs,
                     bool is_leaving)
{
    std::map<std::string, std::int64_t> surplus;
    state& self = *m_state;
    const ports::steady_time now = self.clock.steady_now();
    self.note_uses(needs);
    if (self.is_busy || self.prepaid.empty() ||
        (self.paused_until && now < *self.paused_until))
    {
        return surplus;
    }
    const bool is_urgent =
        is_leaving ||
        std::any_of(needs.begin(), needs.end(),
                    [](const auto& entry) { return entry.second.lacking > 0; });
    const std::chrono::milliseconds interval =
        is_urgent ? urgent_interval : change_interval;
    if (!self.is_stale && self.changed_at && now - *self.changed_at < interval)
    {
        return surplus;
    }
    if (!self.is_stale && self.plan(needs, is_leaving, surplus).empty())
    {
        return surplus;
    }
    self.changed_at = now;
    // Others change the same records, so the plan is made anew on what they
    // are now; a change of old records would be refused.
    const std::shared_ptr<state> shared = m_state;
    self.read_all(
        [shared, needs, is_leaving]
        {
            std::map<std::string, std::int64_t> ignored;
            std::vector<state::planned_change> changes =
                shared->plan(needs, is_leaving, ignored);
            if (!changes.empty())
            {
                shared->commit(std::move(changes));
            }
        });
    return surplus;
}

void token_keeper::put_back(const std::string& account, std::int64_t tokens)
{
    m_state->accounts[account].unreturned += tokens;
}

void token_keeper::state::give_back_all()
{
    if (is_busy)
    {
        // What is under way calls again when it ends.
        return;
    }
    if (is_stale)
    {
        const std::shared_ptr<state> self = shared_from_this();
        read_all([self] { self->give_back_all(); });
        return;
    }
    std::vector<planned_change> changes = plan_returns();
    if (changes.empty())
    {
        if (const auto done = std::exchange(given_back, nullptr))
        {
            done();
        }
        return;
    }
    commit(std::move(changes));
}

void token_keeper::give_back(std::function<void()> done)
{
    m_state->given_back = std::move(done);
    m_state->give_back_all();
}

bool token_keeper::can_grant(const std::string& account,
                             std::int64_t tokens) const
{
    const state& self = *m_state;
    const auto total = self.prepaid.find(account);
    const auto known = self.accounts.find(account);
    if (self.is_stale || total == self.prepaid.end() ||
        known == self.accounts.end())
    {
        return false;
    }
    return total->second - known->second.record.granted_in_all >= tokens;
}

std::optional<ports::steady_time> token_keeper::silent_since() const
{
    const state& self = *m_state;
    const bool is_overdue =
        self.is_busy &&
        self.clock.steady_now() - self.called_at > usual_answer_time;
    if (!self.is_failing && !is_overdue)
    {
        return std::nullopt;
    }
    return self.answered_at;
}

std::map<std::string, known_grants> token_keeper::known() const
{
    std::map<std::string, known_grants> all;
    for (const auto& [name, account] : m_state->accounts)
    {
        all[name] = {account.own_granted + account.returned,
                     account.record.granted_in_all, m_state->rate_of(account)};
    }
    return all;
}

} // namespace turmeric::drivers
