#include "libraries/drivers/fleet/blocked_part_store.hpp"

#include "libraries/codecs/common/json_reader.hpp"
#include "libraries/core/json.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <fmt/format.h>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace turmeric::drivers
{

namespace
{

constexpr std::string_view key_prefix = "turmericfront/blocked_parts/";
/// The wait after a failed read or write, of which the store counts each.
constexpr std::chrono::milliseconds retry_interval{3'000};
/// Older entries are deleted when they are read.
constexpr std::chrono::minutes entry_retention{60};
/// An entry is written again after this time if its part is still blocked.
constexpr std::chrono::minutes rewrite_interval{30};

/// Precedes the number of a request; a part's number has no mark.
constexpr std::string_view request_mark = "request-";

std::string key_of(const domain::suspect_id& id)
{
    const std::string_view mark = id.kind == domain::suspect_kind::request
                                      ? request_mark
                                      : std::string_view();
    return fmt::format("{}{}{:x}", key_prefix, mark, id.value);
}

std::optional<domain::suspect_id> suspect_of(std::string_view key)
{
    constexpr int hexadecimal = 16;
    std::string_view digits = key.substr(key_prefix.size());
    domain::suspect_id id;
    if (digits.starts_with(request_mark))
    {
        id.kind = domain::suspect_kind::request;
        digits.remove_prefix(request_mark.size());
    }
    const char* const end = digits.data() + digits.size();
    const auto [rest, failure] =
        std::from_chars(digits.data(), end, id.value, hexadecimal);
    if (failure != std::errc() || rest != end)
    {
        return std::nullopt;
    }
    return id;
}

std::chrono::seconds seconds_of(ports::system_time time)
{
    return std::chrono::duration_cast<std::chrono::seconds>(
        time.time_since_epoch());
}

std::string write_entry(ports::system_time written_at)
{
    return json{{"written_at", seconds_of(written_at).count()}}.dump();
}

/// Returns how long ago an entry was written; nothing if it is unreadable or so
/// old that it does not count.
std::optional<std::chrono::seconds> read_age(const std::string& text,
                                             ports::system_time now)
{
    const result<json> read =
        codecs::parse_json(text, result_code::corrupt_value, "blocked part");
    if (!read || !read.value().is_object())
    {
        return std::nullopt;
    }
    const json& entry = read.value();
    if (!entry.contains("written_at") ||
        !entry["written_at"].is_number_integer())
    {
        return std::nullopt;
    }
    const std::chrono::seconds written_at(
        entry["written_at"].get<std::int64_t>());
    // The system time may have been set back since.
    const std::chrono::seconds age =
        std::max(std::chrono::seconds(0), seconds_of(now) - written_at);
    return age < entry_retention ? std::optional(age) : std::nullopt;
}

/// Parts to write to the store and to delete from it in one call.
struct part_changes
{
    /// The store accepts no more keys in one change.
    static constexpr std::size_t max_keys = 32;

    /// Drops what does not fit; it is planned again later.
    void limit_size()
    {
        written.resize(std::min(written.size(), max_keys));
        deleted.resize(std::min(deleted.size(), max_keys - written.size()));
    }

    std::vector<domain::suspect_id> written;
    std::vector<domain::suspect_id> deleted;
};

} // namespace

struct blocked_part_store::state : std::enable_shared_from_this<state>
{
    state(ports::asynchronous_store& the_store, ports::timer_queue& the_timers,
          const ports::clock& the_clock, logger& the_log)
        : store(the_store)
        , timers(the_timers)
        , clock(the_clock)
        , log(the_log)
    {
    }

    void load();
    void on_loaded(const ports::key_range& range);
    /// Returns what to change in the store, given the blocked parts.
    [[nodiscard]] part_changes
    plan(const std::set<domain::suspect_id>& blocked,
         const domain::router_ranking& routers) const;
    void commit(const part_changes& changes);
    void on_committed(const part_changes& changes,
                      const result<ports::change_outcome>& response);

    ports::asynchronous_store& store;
    ports::timer_queue& timers;
    const ports::clock& clock;
    logger& log;
    loaded_handler loaded;
    std::unique_ptr<ports::timer> timer;
    /// When this router last wrote a part.
    std::map<domain::suspect_id, ports::steady_time> written;
    bool is_committing = false;
    /// When the next change may be sent, after one that failed.
    ports::steady_time retry_at{};
};

blocked_part_store::blocked_part_store(ports::asynchronous_store& store,
                                       ports::timer_queue& timers,
                                       const ports::clock& clock,
                                       turmeric::logger& log)
    : m_state(std::make_shared<state>(store, timers, clock, log))
{
    const std::weak_ptr<state> weak = m_state;
    store.eras().add_listener(
        [weak](ports::store_era)
        {
            if (const std::shared_ptr<state> self = weak.lock())
            {
                // The copy may lack any of them.
                self->written.clear();
            }
        });
}

blocked_part_store::~blocked_part_store() = default;

void blocked_part_store::load(loaded_handler loaded)
{
    m_state->loaded = std::move(loaded);
    m_state->load();
}

void blocked_part_store::state::load()
{
    const std::weak_ptr<state> weak = weak_from_this();
    store.list(std::string(key_prefix),
               [weak](const result<ports::key_range>& response)
               {
                   const std::shared_ptr<state> self = weak.lock();
                   if (self == nullptr)
                   {
                       return;
                   }
                   if (response)
                   {
                       self->on_loaded(response.value());
                       return;
                   }
                   self->timer = self->timers.schedule(
                       self->clock.steady_now() + retry_interval,
                       [weak]
                       {
                           if (const std::shared_ptr<state> next = weak.lock())
                           {
                               next->load();
                           }
                       });
               });
}

void blocked_part_store::state::on_loaded(const ports::key_range& range)
{
    std::vector<domain::suspect_part> blocked;
    part_changes outdated;
    for (const ports::key_value& entry : range.entries)
    {
        const std::optional<domain::suspect_id> part = suspect_of(entry.key);
        if (!part)
        {
            continue;
        }
        const std::optional<std::chrono::seconds> age =
            read_age(entry.value, clock.system_now());
        if (!age)
        {
            outdated.deleted.push_back(*part);
            continue;
        }
        const ports::steady_time now = clock.steady_now();
        blocked.push_back(domain::make_blocked_part(*part, now - *age, now));
    }
    outdated.limit_size();
    if (!outdated.deleted.empty())
    {
        commit(outdated);
    }
    if (!blocked.empty())
    {
        loaded(std::move(blocked));
    }
}

void blocked_part_store::update(const std::vector<domain::suspect_id>& blocked,
                                const domain::router_ranking& routers)
{
    const ports::steady_time now = m_state->clock.steady_now();
    if (m_state->is_committing || now < m_state->retry_at)
    {
        return;
    }
    const part_changes changes =
        m_state->plan({blocked.begin(), blocked.end()}, routers);
    if (!changes.written.empty() || !changes.deleted.empty())
    {
        m_state->commit(changes);
    }
}

part_changes
blocked_part_store::state::plan(const std::set<domain::suspect_id>& blocked,
                                const domain::router_ranking& routers) const
{
    const ports::steady_time now = clock.steady_now();
    part_changes changes;
    for (const domain::suspect_id& part : blocked)
    {
        const auto known = written.find(part);
        const bool is_written =
            known != written.end() && now - known->second < rewrite_interval;
        if (!is_written && routers.is_first_for(part.value))
        {
            changes.written.push_back(part);
        }
    }
    for (const auto& [part, written_at] : written)
    {
        if (blocked.count(part) == 0)
        {
            changes.deleted.push_back(part);
        }
    }
    changes.limit_size();
    return changes;
}

void blocked_part_store::state::commit(const part_changes& changes)
{
    ports::store_change change;
    for (const domain::suspect_id& part : changes.written)
    {
        change.writes.push_back(
            {key_of(part), write_entry(clock.system_now())});
    }
    for (const domain::suspect_id& part : changes.deleted)
    {
        change.deletions.push_back(key_of(part));
    }
    is_committing = true;
    const std::weak_ptr<state> weak = weak_from_this();
    store.commit(change,
                 [weak, changes](const result<ports::change_outcome>& response)
                 {
                     if (const std::shared_ptr<state> self = weak.lock())
                     {
                         self->on_committed(changes, response);
                     }
                 });
}

void blocked_part_store::state::on_committed(
    const part_changes& changes, const result<ports::change_outcome>& response)
{
    is_committing = false;
    const ports::steady_time now = clock.steady_now();
    if (!response)
    {
        retry_at = now + retry_interval;
        log.write(log_level::warning, log_event::platform_call_failed,
                  {{"call", std::string("blocked parts")},
                   {"reason", response.failure().detail}});
        return;
    }
    for (const domain::suspect_id& part : changes.written)
    {
        written[part] = now;
    }
    for (const domain::suspect_id& part : changes.deleted)
    {
        written.erase(part);
    }
}

} // namespace turmeric::drivers
