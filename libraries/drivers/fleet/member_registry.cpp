#include "libraries/drivers/fleet/member_registry.hpp"

#include "libraries/codecs/common/json_reader.hpp"
#include "libraries/core/json.hpp"

#include <utility>

namespace turmeric::drivers
{

namespace
{

constexpr const char* key_prefix = "turmericfront/members/";
constexpr std::chrono::milliseconds lease_time_to_live{5'000};
constexpr std::chrono::milliseconds renewal_interval{1'500};
constexpr std::chrono::milliseconds retry_interval{500};

std::string write_member(const fleet_member& member)
{
    json encoded = {{"vm", member.vm},
                    {"data_centre", member.data_centre},
                    {"peer_address", member.peer_address},
                    {"caller_address", member.caller_address}};
    if (member.capacity != domain::router_capacity{})
    {
        encoded["cpu_share"] = member.capacity.cpu_share;
        encoded["link_mbps"] = member.capacity.link_mbps;
    }
    return encoded.dump();
}

/// Reads a figure of a VM's capacity, which earlier releases do not state.
double read_capacity(const json& member, const char* name)
{
    const auto found = member.find(name);
    const bool is_valid =
        found != member.end() && found->is_number() && found->get<double>() > 0;
    return is_valid ? found->get<double>() : 0;
}

std::optional<fleet_member> read_member(const std::string& incarnation,
                                        const std::string& text)
{
    const result<json> read =
        codecs::parse_json(text, result_code::corrupt_value, "member");
    if (!read || !read.value().is_object())
    {
        return std::nullopt;
    }
    const json& parsed = read.value();
    fleet_member member;
    member.incarnation = incarnation;
    const std::pair<const char*, std::string*> fields[] = {
        {"vm", &member.vm},
        {"data_centre", &member.data_centre},
        {"peer_address", &member.peer_address},
        {"caller_address", &member.caller_address}};
    for (const auto& [name, value] : fields)
    {
        if (!parsed.contains(name) || !parsed[name].is_string())
        {
            return std::nullopt;
        }
        *value = parsed[name].get<std::string>();
    }
    member.capacity = {read_capacity(parsed, "cpu_share"),
                       read_capacity(parsed, "link_mbps")};
    return member;
}

} // namespace

struct member_registry::state : std::enable_shared_from_this<state>
{
    state(ports::asynchronous_store& the_store, ports::timer_queue& the_timers,
          const ports::clock& the_clock, logger& the_log, fleet_member the_self)
        : store(the_store)
        , timers(the_timers)
        , clock(the_clock)
        , log(the_log)
        , self_member(std::move(the_self))
    {
    }

    /// Registers again, since the store was restored.
    void restart();
    void create_lease();
    void write_key();
    void renew();
    /// Returns whether a call that was made in a registration no longer counts.
    [[nodiscard]] bool is_outdated(std::int64_t started_in) const;
    void call_after(std::chrono::milliseconds delay, void (state::*next)());

    ports::asynchronous_store& store;
    ports::timer_queue& timers;
    const ports::clock& clock;
    logger& log;
    fleet_member self_member;
    ports::lease_id lease = 0;
    std::unique_ptr<ports::timer> timer;
    /// Grows with each registration; the calls of earlier ones are ignored.
    std::int64_t registration = 0;
    bool is_started = false;
    bool is_stopped = false;
};

void member_registry::state::call_after(std::chrono::milliseconds delay,
                                        void (state::*next)())
{
    const std::weak_ptr<state> weak = weak_from_this();
    timer = timers.schedule(clock.steady_now() + delay,
                            [weak, next]
                            {
                                const std::shared_ptr<state> self = weak.lock();
                                if (self != nullptr && !self->is_stopped)
                                {
                                    (*self.*next)();
                                }
                            });
}

bool member_registry::state::is_outdated(std::int64_t started_in) const
{
    return is_stopped || started_in != registration;
}

void member_registry::state::restart()
{
    if (!is_started || is_stopped)
    {
        return;
    }
    ++registration;
    timer.reset();
    // The number of the lease may be another router's now: it must be neither
    // renewed nor ended.
    lease = 0;
    create_lease();
}

void member_registry::state::create_lease()
{
    const std::shared_ptr<state> self = shared_from_this();
    store.create_lease(lease_time_to_live,
                       [self, started_in = registration](
                           const result<ports::granted_lease>& response)
                       {
                           if (self->is_outdated(started_in))
                           {
                               return;
                           }
                           if (!response)
                           {
                               self->call_after(retry_interval,
                                                &state::create_lease);
                               return;
                           }
                           self->lease = response.value().lease;
                           self->write_key();
                       });
}

void member_registry::state::write_key()
{
    ports::store_change change;
    change.writes.push_back({key_prefix + self_member.incarnation,
                             write_member(self_member), lease});
    const std::shared_ptr<state> self = shared_from_this();
    store.commit(
        change,
        [self, started_in =
                   registration](const result<ports::change_outcome>& response)
        {
            if (self->is_outdated(started_in))
            {
                return;
            }
            if (!response && response.failure().code == result_code::lease_lost)
            {
                self->create_lease();
                return;
            }
            if (!response)
            {
                // The write is idempotent, so it may be repeated
                // even if it took effect.
                self->call_after(retry_interval, &state::write_key);
                return;
            }
            self->log.write(log_level::info, log_event::lease_acquired,
                            {{"lease", self->lease}});
            self->call_after(renewal_interval, &state::renew);
        });
}

void member_registry::state::renew()
{
    const std::shared_ptr<state> self = shared_from_this();
    store.renew_lease(
        lease,
        [self,
         started_in = registration](const result<std::monostate>& response)
        {
            if (self->is_outdated(started_in))
            {
                return;
            }
            if (!response && response.failure().code == result_code::lease_lost)
            {
                self->log.write(log_level::warning, log_event::lease_lost,
                                {{"lease", self->lease}});
                self->create_lease();
                return;
            }
            self->call_after(response ? renewal_interval : retry_interval,
                             &state::renew);
        });
}

member_registry::member_registry(ports::asynchronous_store& store,
                                 ports::timer_queue& timers,
                                 const ports::clock& clock, logger& log,
                                 fleet_member self)
    : m_state(
          std::make_shared<state>(store, timers, clock, log, std::move(self)))
    , m_follower(store, timers, clock, log,
                 {key_prefix, std::chrono::milliseconds(8'000),
                  std::chrono::milliseconds(3'000)})
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

member_registry::~member_registry()
{
    m_state->is_stopped = true;
    m_state->timer.reset();
}

void member_registry::start(
    std::function<void(const std::vector<fleet_member>&)> changed)
{
    m_state->is_started = true;
    m_state->create_lease();
    const std::shared_ptr<state> self = m_state;
    m_follower.start(
        [self, changed = std::move(changed)](const followed_items& items)
        {
            std::vector<fleet_member> members{self->self_member};
            for (const auto& [key, item] : items)
            {
                const std::string incarnation =
                    key.substr(std::string(key_prefix).size());
                std::optional<fleet_member> member =
                    read_member(incarnation, item.value);
                if (!member)
                {
                    self->log.write(log_level::warning,
                                    log_event::document_unreadable,
                                    {{"key", key}});
                    continue;
                }
                if (incarnation != self->self_member.incarnation)
                {
                    members.push_back(std::move(*member));
                }
            }
            changed(members);
        });
}

void member_registry::leave()
{
    m_state->is_stopped = true;
    m_state->timer.reset();
    if (m_state->lease != 0)
    {
        const std::shared_ptr<state> self = m_state;
        self->store.revoke_lease(
            self->lease,
            [self](const result<std::monostate>& response)
            {
                if (response)
                {
                    return;
                }
                // The store deletes the entry when the lease expires.
                self->log.write(
                    log_level::warning, log_event::platform_call_failed,
                    {{"prefix", std::string(key_prefix)},
                     {"code",
                      static_cast<std::int64_t>(response.failure().code)},
                     {"reason", response.failure().detail}});
            });
    }
}

} // namespace turmeric::drivers
