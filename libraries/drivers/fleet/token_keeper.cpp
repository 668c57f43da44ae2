#include "libraries/drivers/fleet/token_keeper.hpp"

#include "libraries/codecs/fleet/prepaid_record_codec.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::drivers
{

namespace
{

constexpr std::string_view key_prefix = "turmericfront/tokens/";
/// How long to wait after a failed call.
constexpr std::chrono::milliseconds failure_pause{300};
/// Changes that no request waits for are gathered for so long.
constexpr std::chrono::milliseconds change_interval{1'000};
/// The same while requests wait.
constexpr std::chrono::milliseconds urgent_interval{100};
/// A call that is open for longer says that the store is silent.
constexpr std::chrono::milliseconds usual_answer_time{600};

bool is_anyone_waiting(const std::map<std::string, account_token_demand>& needs)
{
    return std::any_of(needs.begin(), needs.end(),
                       [](const auto& entry)
                       { return entry.second.lacking > 0; });
}

} // namespace

struct token_keeper::state : std::enable_shared_from_this<state>
{
    state(ports::asynchronous_store& the_store, const ports::clock& the_clock,
          logger& the_log, std::string incarnation)
        : store(the_store)
        , clock(the_clock)
        , log(the_log)
        , book(the_clock, std::move(incarnation))
        , answered_at(clock.steady_now())
    {
    }

    void read_all(std::function<void()> then);
    void take_record(const ports::key_value& entry);
    void commit(std::vector<planned_grant> changes);
    void on_committed(const std::vector<planned_grant>& changes,
                      result<ports::change_outcome> got);
    void on_refused(const std::vector<planned_grant>& changes,
                    const ports::change_refused& refused);
    void on_made(const std::vector<planned_grant>& changes, ports::revision at);
    /// Gives back until nothing is left to give back.
    void give_back_all();
    [[nodiscard]] bool is_too_soon(bool is_urgent) const;
    void note_call();
    void note_answer(bool is_good);
    void tell();

    ports::asynchronous_store& store;
    const ports::clock& clock;
    logger& log;
    std::function<void()> changed;
    grant_book book;
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
    if (!read)
    {
        log.write(log_level::error, log_event::document_unreadable,
                  {{"key", entry.key}, {"reason", read.failure().detail}});
        return;
    }
    book.take(entry.key.substr(key_prefix.size()), entry.modified,
              std::move(read.value()));
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

void token_keeper::state::commit(std::vector<planned_grant> changes)
{
    ports::store_change change;
    for (const planned_grant& planned : changes)
    {
        const std::string key = std::string(key_prefix) + planned.account;
        const planned_record next = book.apply(planned);
        change.conditions.push_back({key, next.before});
        change.writes.push_back(
            {key, codecs::write_prepaid_record(next.record), 0});
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
    const std::vector<planned_grant>& changes,
    result<ports::change_outcome> got)
{
    if (!got)
    {
        log.write(log_level::warning, log_event::commit_failed,
                  {{"code", static_cast<std::int64_t>(got.failure().code)},
                   {"reason", got.failure().detail}});
        is_stale = true;
        paused_until = clock.steady_now() + failure_pause;
        book.note_doubt(changes);
        return;
    }
    if (const ports::change_refused* refused =
            std::get_if<ports::change_refused>(&got.value()))
    {
        on_refused(changes, *refused);
        return;
    }
    on_made(changes, std::get<ports::change_made>(got.value()).at);
}

void token_keeper::state::on_refused(const std::vector<planned_grant>& changes,
                                     const ports::change_refused& refused)
{
    for (const ports::key_value& entry : refused.current)
    {
        take_record(entry);
    }
    // A key that is not among them was removed; only a read tells.
    is_stale = refused.current.size() < changes.size();
    tell();
}

void token_keeper::state::on_made(const std::vector<planned_grant>& changes,
                                  ports::revision at)
{
    for (const planned_grant& planned : changes)
    {
        const known_grants known = book.note_made(planned, at);
        log.write(log_level::info, log_event::grant_changed,
                  {{"account", planned.account},
                   {"tokens", planned.tokens},
                   {"granted", known.ever_granted},
                   {"granted_in_all", known.granted_in_all},
                   {"revision", at}});
    }
    tell();
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
    m_state->book.set_prepaid(std::move(prepaid));
}

void token_keeper::set_members(std::set<std::string> members)
{
    m_state->book.set_members(std::move(members));
}

bool token_keeper::state::is_too_soon(bool is_urgent) const
{
    const ports::steady_time now = clock.steady_now();
    if (paused_until && now < *paused_until)
    {
        return true;
    }
    const std::chrono::milliseconds interval =
        is_urgent ? urgent_interval : change_interval;
    return !is_stale && changed_at && now - *changed_at < interval;
}

std::map<std::string, std::int64_t>
token_keeper::review(const std::map<std::string, account_token_demand>& needs,
                     bool is_leaving)
{
    std::map<std::string, std::int64_t> surplus;
    state& self = *m_state;
    self.book.note_uses(needs);
    if (self.is_busy || !self.book.has_prepaid() ||
        self.is_too_soon(is_leaving || is_anyone_waiting(needs)))
    {
        return surplus;
    }
    if (!self.is_stale && self.book.plan(needs, is_leaving, surplus).empty())
    {
        return surplus;
    }
    self.changed_at = self.clock.steady_now();
    // Others change the same records, so the plan is made anew on what they
    // are now; a change of old records would be refused.
    const std::shared_ptr<state> shared = m_state;
    self.read_all(
        [shared, needs, is_leaving]
        {
            std::map<std::string, std::int64_t> ignored;
            std::vector<planned_grant> changes =
                shared->book.plan(needs, is_leaving, ignored);
            if (!changes.empty())
            {
                shared->commit(std::move(changes));
            }
        });
    return surplus;
}

void token_keeper::put_back(const std::string& account, std::int64_t tokens)
{
    m_state->book.put_back(account, tokens);
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
    std::vector<planned_grant> changes = book.plan_returns();
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
    return !m_state->is_stale && m_state->book.has_left(account, tokens);
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
    return m_state->book.known();
}

} // namespace turmeric::drivers
