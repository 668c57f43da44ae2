#include "libraries/drivers/fleet/blocked_part_store.hpp"

#include "libraries/core/json.hpp"

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
constexpr std::chrono::milliseconds retry_interval{1'000};
/// Older entries are deleted when they are read.
constexpr std::chrono::minutes entry_retention{60};
/// An entry is written again after this time if its part is still blocked.
constexpr std::chrono::minutes rewrite_interval{30};

std::string key_of(std::uint64_t part)
{
    return fmt::format("{}{:x}", key_prefix, part);
}

std::optional<std::uint64_t> part_of(std::string_view key)
{
    constexpr int hexadecimal = 16;
    const std::string_view digits = key.substr(key_prefix.size());
    std::uint64_t part = 0;
    const char* const end = digits.data() + digits.size();
    const auto [rest, failure] =
        std::from_chars(digits.data(), end, part, hexadecimal);
    if (failure != std::errc() || rest != end)
    {
        return std::nullopt;
    }
    return part;
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

/// Returns whether an entry is readable and not too old.
bool is_current(const std::string& text, ports::system_time now)
{
    const json entry = json::parse(text, nullptr, false);
    if (!entry.is_object() || !entry.contains("written_at") ||
        !entry["written_at"].is_number_integer())
    {
        return false;
    }
    const std::chrono::seconds written_at(
        entry["written_at"].get<std::int64_t>());
    return seconds_of(now) - written_at < entry_retention;
}

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
    void commit(ports::store_change change,
                const std::vector<std::uint64_t>& parts);

    ports::asynchronous_store& store;
    ports::timer_queue& timers;
    const ports::clock& clock;
    logger& log;
    loaded_handler loaded;
    std::unique_ptr<ports::timer> timer;
    /// When this router last wrote a part.
    std::map<std::uint64_t, ports::steady_time> written;
    bool is_committing = false;
};

blocked_part_store::blocked_part_store(ports::asynchronous_store& store,
                                       ports::timer_queue& timers,
                                       const ports::clock& clock,
                                       turmeric::logger& log)
    : m_state(std::make_shared<state>(store, timers, clock, log))
{
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
    ports::store_change removal;
    constexpr std::size_t max_deletions = 32;
    for (const ports::key_value& entry : range.entries)
    {
        const std::optional<std::uint64_t> part = part_of(entry.key);
        if (part && is_current(entry.value, clock.system_now()))
        {
            blocked.push_back(
                domain::make_blocked_part(*part, clock.steady_now()));
        }
        else if (removal.deletions.size() < max_deletions)
        {
            removal.deletions.push_back(entry.key);
        }
    }
    if (!removal.deletions.empty())
    {
        commit(std::move(removal), {});
    }
    if (!blocked.empty())
    {
        loaded(std::move(blocked));
    }
}

void blocked_part_store::update(
    const std::vector<domain::suspect_part>& suspects,
    const domain::router_ranking& routers)
{
    if (m_state->is_committing)
    {
        return;
    }
    const ports::steady_time now = m_state->clock.steady_now();
    std::set<std::uint64_t> blocked;
    std::vector<std::uint64_t> to_write;
    ports::store_change change;
    for (const domain::suspect_part& suspect : suspects)
    {
        if (!domain::is_part_blocked(suspect) ||
            !blocked.insert(suspect.id).second)
        {
            continue;
        }
        const auto known = m_state->written.find(suspect.id);
        const bool is_written = known != m_state->written.end() &&
                                now - known->second < rewrite_interval;
        if (!is_written && routers.is_first_for(suspect.id))
        {
            to_write.push_back(suspect.id);
            change.writes.push_back(
                {key_of(suspect.id), write_entry(m_state->clock.system_now())});
        }
    }
    for (const auto& [part, written_at] : m_state->written)
    {
        if (blocked.count(part) == 0)
        {
            change.deletions.push_back(key_of(part));
        }
    }
    std::erase_if(m_state->written, [&](const auto& entry)
                  { return blocked.count(entry.first) == 0; });
    if (!change.writes.empty() || !change.deletions.empty())
    {
        m_state->commit(std::move(change), to_write);
    }
}

void blocked_part_store::state::commit(ports::store_change change,
                                       const std::vector<std::uint64_t>& parts)
{
    is_committing = true;
    const std::weak_ptr<state> weak = weak_from_this();
    store.commit(change,
                 [weak, parts](const result<ports::change_outcome>& response)
                 {
                     const std::shared_ptr<state> self = weak.lock();
                     if (self == nullptr)
                     {
                         return;
                     }
                     self->is_committing = false;
                     if (!response)
                     {
                         self->log.write(
                             log_level::warning,
                             log_event::platform_call_failed,
                             {{"call", std::string("blocked parts")},
                              {"reason", response.failure().detail}});
                         return;
                     }
                     for (const std::uint64_t part : parts)
                     {
                         self->written[part] = self->clock.steady_now();
                     }
                 });
}

} // namespace turmeric::drivers
