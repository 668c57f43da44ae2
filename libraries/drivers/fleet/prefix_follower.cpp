#include "libraries/drivers/fleet/prefix_follower.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace turmeric::drivers
{

namespace
{

constexpr std::chrono::milliseconds initial_backoff{100};
constexpr std::chrono::milliseconds max_backoff{600};
/// The pause after a watch that brought events. Changes often come in series,
/// and each would otherwise cost a call of every router.
constexpr std::chrono::milliseconds event_gathering_time{200};

} // namespace

/// Shared with the callbacks of calls, which may outlive the follower.
struct prefix_follower::state : std::enable_shared_from_this<state>
{
    state(ports::asynchronous_store& the_store, ports::timer_queue& the_timers,
          const ports::clock& the_clock, logger& the_log,
          follower_settings the_settings)
        : store(the_store)
        , timers(the_timers)
        , clock(the_clock)
        , log(the_log)
        , settings(std::move(the_settings))
    {
    }

    /// Reads the prefix again, since the store was restored. What is under way
    /// no longer counts.
    void restart();
    void read();
    void schedule_read(std::chrono::milliseconds delay);
    void watch();
    void on_read_result(result<ports::key_range> response);
    void on_watch_result(result<ports::watch_batch> response);
    void on_failure(const error& failure);
    void on_success();
    /// Records that calls have failed since the last success, and from when the
    /// store has been available after that.
    void end_outage();
    void apply(const ports::key_event& event);
    void remove(const std::string& key);
    void apply_pending_deletions();
    void notify();

    ports::asynchronous_store& store;
    ports::timer_queue& timers;
    const ports::clock& clock;
    logger& log;
    follower_settings settings;
    std::function<void(const followed_items&)> changed;
    followed_items items;
    /// Keys that were deleted during an outage or within the grace period
    /// after it, and are still in `items`.
    std::set<std::string> pending_deletions;
    ports::revision revision = 0;
    /// Grows with each restart; the calls of earlier numbers are ignored.
    std::int64_t run = 0;
    bool is_started = false;
    bool has_read = false;
    /// The reads that have not ended, without those of earlier runs.
    int reads_under_way = 0;
    std::optional<ports::steady_time> last_success_at;
    std::optional<ports::steady_time> unavailable_since;
    /// The latest time at which the store may have been away.
    std::optional<ports::steady_time> recovered_at;
    /// When the store was found to be restored. Keys that the copy lacks may be
    /// written again by those who own them.
    std::optional<ports::steady_time> restored_at;
    std::chrono::milliseconds backoff = initial_backoff;
    std::unique_ptr<ports::timer> retry_timer;
    std::unique_ptr<ports::timer> watch_timer;
    std::unique_ptr<ports::timer> deletion_timer;
    bool is_stopped = false;
};

void prefix_follower::state::restart()
{
    if (!is_started || is_stopped)
    {
        return;
    }
    ++run;
    reads_under_way = 0;
    retry_timer.reset();
    watch_timer.reset();
    restored_at = clock.steady_now();
    read();
}

void prefix_follower::state::read()
{
    const std::shared_ptr<state> self = shared_from_this();
    ++reads_under_way;
    store.list(settings.prefix,
               [self, started_in = run](result<ports::key_range> response)
               {
                   if (started_in == self->run)
                   {
                       --self->reads_under_way;
                       self->on_read_result(std::move(response));
                   }
               });
    if (unavailable_since && settings.outage_read_interval.count() > 0)
    {
        schedule_read(settings.outage_read_interval);
    }
}

void prefix_follower::state::schedule_read(std::chrono::milliseconds delay)
{
    const std::weak_ptr<state> weak = weak_from_this();
    retry_timer = timers.schedule(clock.steady_now() + delay,
                                  [weak]
                                  {
                                      if (const auto self = weak.lock())
                                      {
                                          self->read();
                                      }
                                  });
}

void prefix_follower::state::watch()
{
    const std::shared_ptr<state> self = shared_from_this();
    store.watch(settings.prefix, revision, settings.watch_wait,
                [self, started_in = run](result<ports::watch_batch> response)
                {
                    if (started_in == self->run)
                    {
                        self->on_watch_result(std::move(response));
                    }
                });
}

void prefix_follower::state::on_read_result(result<ports::key_range> response)
{
    if (is_stopped)
    {
        return;
    }
    if (!response)
    {
        on_failure(response.failure());
        return;
    }
    on_success();
    followed_items current_items;
    for (ports::key_value& entry : response.value().entries)
    {
        std::string key = entry.key;
        current_items.emplace(std::move(key), std::move(entry));
    }
    std::vector<std::string> missing;
    for (const auto& [key, entry] : items)
    {
        if (current_items.count(key) == 0)
        {
            missing.push_back(key);
        }
    }
    for (auto& [key, entry] : current_items)
    {
        pending_deletions.erase(key);
        items[key] = std::move(entry);
    }
    for (const std::string& key : missing)
    {
        remove(key);
    }
    revision = response.value().store_revision;
    has_read = true;
    notify();
    watch();
}

void prefix_follower::state::on_watch_result(
    result<ports::watch_batch> response)
{
    if (is_stopped)
    {
        return;
    }
    if (!response)
    {
        on_failure(response.failure());
        return;
    }
    on_success();
    if (response.value().is_compacted)
    {
        log.write(log_level::info, log_event::watch_replaced,
                  {{"prefix", settings.prefix},
                   {"reason", std::string("history_dropped")},
                   {"after", revision}});
        read();
        return;
    }
    for (const ports::key_event& event : response.value().events)
    {
        apply(event);
    }
    revision = std::max(revision, response.value().store_revision);
    if (response.value().events.empty())
    {
        watch();
        return;
    }
    notify();
    const std::weak_ptr<state> weak = weak_from_this();
    watch_timer = timers.schedule(clock.steady_now() + event_gathering_time,
                                  [weak]
                                  {
                                      const auto self = weak.lock();
                                      if (self && !self->is_stopped)
                                      {
                                          self->watch();
                                      }
                                  });
}

void prefix_follower::state::apply(const ports::key_event& event)
{
    if (event.is_deleted)
    {
        remove(event.entry.key);
        return;
    }
    pending_deletions.erase(event.entry.key);
    items[event.entry.key] = event.entry;
}

void prefix_follower::state::remove(const std::string& key)
{
    const std::optional<ports::steady_time> latest =
        std::max(recovered_at, restored_at);
    const bool is_in_grace_period =
        latest && clock.steady_now() - *latest < settings.deletion_grace;
    if (!is_in_grace_period)
    {
        items.erase(key);
        return;
    }
    pending_deletions.insert(key);
    const std::weak_ptr<state> weak = weak_from_this();
    deletion_timer = timers.schedule(*latest + settings.deletion_grace,
                                     [weak]
                                     {
                                         if (const auto self = weak.lock())
                                         {
                                             self->apply_pending_deletions();
                                         }
                                     });
}

void prefix_follower::state::apply_pending_deletions()
{
    for (const std::string& key : std::exchange(pending_deletions, {}))
    {
        items.erase(key);
    }
    notify();
}

void prefix_follower::state::on_failure(const error& failure)
{
    if (!unavailable_since)
    {
        unavailable_since = clock.steady_now();
        log.write(log_level::warning, log_event::platform_call_failed,
                  {{"prefix", settings.prefix},
                   {"code", static_cast<std::int64_t>(failure.code)},
                   {"reason", failure.detail}});
    }
    if (reads_under_way > 0)
    {
        return;
    }
    schedule_read(backoff);
    backoff = std::min(backoff * 2, max_backoff);
}

void prefix_follower::state::on_success()
{
    backoff = initial_backoff;
    if (unavailable_since)
    {
        end_outage();
    }
    last_success_at = clock.steady_now();
}

void prefix_follower::state::end_outage()
{
    // Reads that are still under way no longer count.
    ++run;
    reads_under_way = 0;
    retry_timer.reset();
    const ports::steady_time now = clock.steady_now();
    recovered_at =
        settings.available_since ? settings.available_since(now) : now;
    if (last_success_at && *recovered_at <= *last_success_at)
    {
        // The store was never away; only this router did not reach it.
        recovered_at.reset();
    }
    const auto outage = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - *unavailable_since);
    log.write(log_level::info, log_event::platform_recovered,
              {{"prefix", settings.prefix},
               {"silent_ms", static_cast<std::int64_t>(outage.count())}});
    unavailable_since.reset();
}

void prefix_follower::state::notify()
{
    if (changed)
    {
        changed(items);
    }
}

prefix_follower::prefix_follower(ports::asynchronous_store& store,
                                 ports::timer_queue& timers,
                                 const ports::clock& clock, logger& log,
                                 follower_settings settings)
    : m_state(std::make_shared<state>(store, timers, clock, log,
                                      std::move(settings)))
{
    const std::weak_ptr<state> weak = m_state;
    store.eras().add_listener(
        [weak](ports::store_era)
        {
            if (const std::shared_ptr<state> self = weak.lock())
            {
                self->restart();
            }
        });
}

prefix_follower::~prefix_follower()
{
    m_state->is_stopped = true;
    m_state->changed = nullptr;
    m_state->retry_timer.reset();
    m_state->watch_timer.reset();
    m_state->deletion_timer.reset();
}

void prefix_follower::start(std::function<void(const followed_items&)> changed)
{
    m_state->changed = std::move(changed);
    m_state->is_started = true;
    m_state->read();
}

bool prefix_follower::has_read() const
{
    return m_state->has_read;
}

std::optional<ports::steady_time> prefix_follower::unavailable_since() const
{
    return m_state->unavailable_since;
}

} // namespace turmeric::drivers
