#include "libraries/drivers/fleet/prefix_follower.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace turmeric::drivers
{

namespace
{

constexpr std::chrono::milliseconds first_backoff{100};
constexpr std::chrono::milliseconds longest_backoff{600};

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

    void read();
    void watch();
    void on_read(result<ports::key_range> got);
    void on_watched(result<ports::watch_batch> got);
    void on_failure(const error& failure);
    void on_success();
    void apply(const ports::key_event& event);
    void remove(const std::string& key);
    void drop_vanished();
    void tell();

    ports::asynchronous_store& store;
    ports::timer_queue& timers;
    const ports::clock& clock;
    logger& log;
    follower_settings settings;
    std::function<void(const followed_items&)> changed;
    followed_items items;
    /// Keys that vanished while or just after the store was away.
    std::set<std::string> vanished;
    ports::revision revision = 0;
    bool has_read = false;
    std::optional<ports::steady_time> silent_since;
    std::optional<ports::steady_time> returned_at;
    std::chrono::milliseconds backoff = first_backoff;
    std::unique_ptr<ports::timer> retry_timer;
    std::unique_ptr<ports::timer> vanished_timer;
    bool is_stopped = false;
};

void prefix_follower::state::read()
{
    const std::shared_ptr<state> self = shared_from_this();
    store.list(settings.prefix, [self](result<ports::key_range> got)
               { self->on_read(std::move(got)); });
}

void prefix_follower::state::watch()
{
    const std::shared_ptr<state> self = shared_from_this();
    store.watch(settings.prefix, revision, settings.wait,
                [self](result<ports::watch_batch> got)
                { self->on_watched(std::move(got)); });
}

void prefix_follower::state::on_read(result<ports::key_range> got)
{
    if (is_stopped)
    {
        return;
    }
    if (!got)
    {
        on_failure(got.failure());
        return;
    }
    on_success();
    followed_items read_now;
    for (ports::key_value& entry : got.value().entries)
    {
        std::string key = entry.key;
        read_now.emplace(std::move(key), std::move(entry));
    }
    std::vector<std::string> missing;
    for (const auto& [key, entry] : items)
    {
        if (read_now.count(key) == 0)
        {
            missing.push_back(key);
        }
    }
    for (auto& [key, entry] : read_now)
    {
        vanished.erase(key);
        items[key] = std::move(entry);
    }
    for (const std::string& key : missing)
    {
        remove(key);
    }
    revision = got.value().store_revision;
    has_read = true;
    tell();
    watch();
}

void prefix_follower::state::on_watched(result<ports::watch_batch> got)
{
    if (is_stopped)
    {
        return;
    }
    if (!got)
    {
        on_failure(got.failure());
        return;
    }
    on_success();
    if (got.value().is_compacted)
    {
        log.write(log_level::info, log_event::watch_replaced,
                  {{"prefix", settings.prefix},
                   {"reason", std::string("history_dropped")},
                   {"after", revision}});
        read();
        return;
    }
    for (const ports::key_event& event : got.value().events)
    {
        apply(event);
    }
    revision = std::max(revision, got.value().store_revision);
    if (!got.value().events.empty())
    {
        tell();
    }
    watch();
}

void prefix_follower::state::apply(const ports::key_event& event)
{
    if (event.is_deleted)
    {
        remove(event.entry.key);
        return;
    }
    vanished.erase(event.entry.key);
    items[event.entry.key] = event.entry;
}

void prefix_follower::state::remove(const std::string& key)
{
    const bool is_graced =
        settings.vanished_grace.count() > 0 && returned_at &&
        clock.steady_now() - *returned_at < settings.vanished_grace;
    if (!is_graced)
    {
        items.erase(key);
        return;
    }
    vanished.insert(key);
    const std::weak_ptr<state> weak = weak_from_this();
    vanished_timer = timers.schedule(*returned_at + settings.vanished_grace,
                                     [weak]
                                     {
                                         if (const auto self = weak.lock())
                                         {
                                             self->drop_vanished();
                                         }
                                     });
}

void prefix_follower::state::drop_vanished()
{
    for (const std::string& key : std::exchange(vanished, {}))
    {
        items.erase(key);
    }
    tell();
}

void prefix_follower::state::on_failure(const error& failure)
{
    if (!silent_since)
    {
        silent_since = clock.steady_now();
        log.write(log_level::warning, log_event::platform_call_failed,
                  {{"prefix", settings.prefix},
                   {"code", static_cast<std::int64_t>(failure.code)},
                   {"reason", failure.detail}});
    }
    const std::weak_ptr<state> weak = weak_from_this();
    retry_timer = timers.schedule(clock.steady_now() + backoff,
                                  [weak]
                                  {
                                      if (const auto self = weak.lock())
                                      {
                                          self->read();
                                      }
                                  });
    backoff = std::min(backoff * 2, longest_backoff);
}

void prefix_follower::state::on_success()
{
    backoff = first_backoff;
    if (!silent_since)
    {
        return;
    }
    returned_at = clock.steady_now();
    const auto silence = std::chrono::duration_cast<std::chrono::milliseconds>(
        *returned_at - *silent_since);
    log.write(log_level::info, log_event::platform_recovered,
              {{"prefix", settings.prefix},
               {"silent_ms", static_cast<std::int64_t>(silence.count())}});
    silent_since.reset();
}

void prefix_follower::state::tell()
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
}

prefix_follower::~prefix_follower()
{
    m_state->is_stopped = true;
    m_state->changed = nullptr;
    m_state->retry_timer.reset();
    m_state->vanished_timer.reset();
}

void prefix_follower::start(std::function<void(const followed_items&)> changed)
{
    m_state->changed = std::move(changed);
    m_state->read();
}

bool prefix_follower::has_read() const
{
    return m_state->has_read;
}

std::optional<ports::steady_time> prefix_follower::silent_since() const
{
    return m_state->silent_since;
}

} // namespace turmeric::drivers
