#include "libraries/domain/placement/path_monitor.hpp"

#include <algorithm>
#include <utility>

namespace turmeric::domain
{

namespace
{

/// Failures on so many upstreams are a reason to probe, or on all if there are
/// fewer.
constexpr std::size_t suspicious_failures = 2;
/// A failure to connect counts for this time; it outlasts several attempts that
/// time out.
constexpr std::chrono::milliseconds failure_retention{2'000};
/// Upstreams that are probed at once to find out whether a path is left.
constexpr std::size_t max_probes_at_once = 8;
/// Least time between two such rounds.
constexpr std::chrono::milliseconds min_round_interval{500};
constexpr std::chrono::milliseconds min_usual_silence{150};
/// A silence is unusual if it is longer than the usual one by this factor.
constexpr int unusual_silence_factor = 2;
/// How much of the usual silence is forgotten with each response.
constexpr int silence_decay_divisor = 20;
/// The interval between probes of a service that is cut off.
constexpr std::chrono::milliseconds min_probe_interval{200};
constexpr std::chrono::milliseconds max_probe_interval{1'000};

} // namespace

void path_monitor::set_upstreams(const std::vector<upstream_entry>& entries,
                                 ports::steady_time now)
{
    std::map<std::string, std::map<std::string, upstream_entry>> next;
    for (const upstream_entry& entry : entries)
    {
        if (entry.state == upstream_state::serving)
        {
            next[entry.service].emplace(entry.id, entry);
        }
    }
    for (const auto& [service, paths] : m_services)
    {
        if (paths.is_cut_off && next.count(service) == 0)
        {
            m_changes.push_back({service, false, 0});
        }
    }
    std::erase_if(m_services, [&](const auto& known)
                  { return next.count(known.first) == 0; });
    for (auto& [service, upstreams] : next)
    {
        set_upstreams(m_services[service], std::move(upstreams), now);
    }
}

void path_monitor::set_upstreams(
    service_paths& paths, std::map<std::string, upstream_entry> upstreams,
    ports::steady_time now)
{
    const bool has_new_one = std::any_of(
        upstreams.begin(), upstreams.end(),
        [&](const auto& one) { return paths.upstreams.count(one.first) == 0; });
    if (paths.is_cut_off && has_new_one)
    {
        paths.probe_interval = min_probe_interval;
        paths.next_probe_at =
            std::min(paths.next_probe_at, later_probe_at(paths, now));
    }
    std::erase_if(paths.failures, [&](const auto& one)
                  { return upstreams.count(one.first) == 0; });
    paths.upstreams = std::move(upstreams);
}

ports::steady_time path_monitor::later_probe_at(const service_paths& paths,
                                                ports::steady_time now)
{
    return now + std::chrono::duration_cast<std::chrono::nanoseconds>(
                     paths.probe_interval * paths.interval_fraction);
}

path_monitor::service_paths* path_monitor::find(const upstream_entry& upstream)
{
    const auto found = m_services.find(upstream.service);
    const bool is_known = found != m_services.end() &&
                          found->second.upstreams.count(upstream.id) > 0;
    return is_known ? &found->second : nullptr;
}

void path_monitor::record_sent(const upstream_entry& upstream,
                               ports::steady_time now)
{
    service_paths* const paths = find(upstream);
    if (paths != nullptr && !paths->silent_since)
    {
        paths->silent_since = now;
    }
}

void path_monitor::record_contact(const upstream_entry& upstream,
                                  ports::steady_time now)
{
    service_paths* const paths = find(upstream);
    if (paths == nullptr)
    {
        return;
    }
    paths->last_contact_at = now;
    std::erase_if(paths->failures,
                  [](const auto& one) { return !one.second.is_connect; });
    if (paths->is_cut_off)
    {
        return;
    }
    if (paths->silent_since)
    {
        paths->usual_silence -= paths->usual_silence / silence_decay_divisor;
        paths->silent_since.reset();
    }
}

bool path_monitor::is_suspicious(const service_paths& paths)
{
    return paths.failures.size() >=
           std::min(suspicious_failures, paths.upstreams.size());
}

void path_monitor::record_failure(const upstream_entry& upstream,
                                  ports::transport_failure failure,
                                  ports::steady_time now)
{
    service_paths* const paths = find(upstream);
    if (paths == nullptr || paths->is_cut_off)
    {
        return;
    }
    const bool is_connect = failure == ports::transport_failure::not_connected;
    std::erase_if(paths->failures, [&](const auto& one)
                  { return now - one.second.at > failure_retention; });
    if (paths->failures.empty())
    {
        paths->suspicious_since = now;
    }
    paths->failures[upstream.id] = {now, is_connect};
    const bool is_early = paths->last_round_at &&
                          now - *paths->last_round_at < min_round_interval;
    if (is_suspicious(*paths) && !is_early)
    {
        paths->due_round = probe_round::sample;
    }
}

void path_monitor::request_probes(const std::string& service,
                                  const std::string& upstream)
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || found->second.is_cut_off)
    {
        return;
    }
    service_paths& paths = found->second;
    paths.ended.insert(upstream);
    paths.due_round = paths.due_round.value_or(probe_round::ended);
}

std::optional<ports::steady_time>
path_monitor::next_probes_at(const service_paths& paths)
{
    if (!paths.probed.empty())
    {
        return std::nullopt;
    }
    if (paths.is_cut_off)
    {
        return paths.next_probe_at;
    }
    if (paths.due_round)
    {
        return ports::steady_time{};
    }
    if (!paths.silent_since)
    {
        return std::nullopt;
    }
    return *paths.silent_since + std::max<std::chrono::nanoseconds>(
                                     paths.usual_silence, min_usual_silence) *
                                     unusual_silence_factor;
}

std::optional<ports::steady_time> path_monitor::next_probes_at() const
{
    std::optional<ports::steady_time> next;
    for (const auto& [service, paths] : m_services)
    {
        const std::optional<ports::steady_time> at = next_probes_at(paths);
        if (at && (!next || *at < *next))
        {
            next = at;
        }
    }
    return next;
}

std::vector<upstream_entry>
path_monitor::choose_probes(service_paths& paths, ports::random_source& random)
{
    std::vector<upstream_entry> chosen;
    if (paths.is_cut_off)
    {
        auto next = paths.upstreams.upper_bound(paths.last_probed);
        if (next == paths.upstreams.end())
        {
            next = paths.upstreams.begin();
        }
        paths.last_probed = next->first;
        chosen.push_back(next->second);
        return chosen;
    }
    const std::set<std::string> ended = std::exchange(paths.ended, {});
    std::vector<upstream_entry> sound;
    // Upstreams whose connections failed already tell less.
    std::vector<upstream_entry> failed;
    for (const auto& [id, upstream] : paths.upstreams)
    {
        const bool is_ended = ended.count(id) > 0;
        const bool is_failed = paths.failures.count(id) > 0;
        (is_ended ? chosen : is_failed ? failed : sound).push_back(upstream);
    }
    shuffle(chosen, random);
    shuffle(sound, random);
    shuffle(failed, random);
    chosen.resize(std::min(chosen.size(), max_probes_at_once));
    sound.insert(sound.end(), failed.begin(), failed.end());
    sound.resize(std::min(sound.size(), count_others(paths.round)));
    chosen.insert(chosen.end(), sound.begin(), sound.end());
    if (!chosen.empty())
    {
        paths.last_probed = chosen.back().id;
    }
    return chosen;
}

std::size_t path_monitor::count_others(probe_round round)
{
    switch (round)
    {
    case probe_round::ended:
        return 1;
    case probe_round::sample:
        return max_probes_at_once;
    }
    return 0;
}

void path_monitor::shuffle(std::vector<upstream_entry>& entries,
                           ports::random_source& random)
{
    for (std::size_t left = entries.size(); left > 1; --left)
    {
        std::swap(entries[left - 1], entries[random.next() % left]);
    }
}

std::vector<upstream_entry>
path_monitor::start_probes(ports::steady_time now, ports::random_source& random)
{
    std::vector<upstream_entry> started;
    for (auto& [service, paths] : m_services)
    {
        const std::optional<ports::steady_time> at = next_probes_at(paths);
        if (!at || *at > now)
        {
            continue;
        }
        constexpr std::uint64_t steps = 1'000;
        paths.interval_fraction =
            0.5 + 0.5 * static_cast<double>(random.next() % steps) / steps;
        paths.round = paths.due_round.value_or(probe_round::sample);
        paths.due_round.reset();
        paths.last_round_at = now;
        paths.is_round_silent = false;
        for (const upstream_entry& upstream : choose_probes(paths, random))
        {
            paths.probed.insert(upstream.id);
            started.push_back(upstream);
        }
    }
    return started;
}

void path_monitor::record_probe(const upstream_entry& upstream,
                                ports::probe_result result,
                                ports::steady_time now)
{
    const auto found = m_services.find(upstream.service);
    if (found == m_services.end() ||
        found->second.probed.erase(upstream.id) == 0)
    {
        return;
    }
    service_paths& paths = found->second;
    const bool is_silent = result == ports::probe_result::silent;
    paths.is_last_silent = is_silent;
    if (result == ports::probe_result::answered)
    {
        record_answer(upstream.service, paths, now);
        return;
    }
    if (paths.is_cut_off)
    {
        paths.probe_interval = std::min<std::chrono::nanoseconds>(
            max_probe_interval, 2 * paths.probe_interval);
        paths.next_probe_at = later_probe_at(paths, now);
        return;
    }
    paths.is_round_silent = paths.is_round_silent || is_silent;
    paths.failures[upstream.id] = {now, !is_silent};
    if (paths.probed.empty())
    {
        finish_round(upstream.service, paths, now);
    }
}

void path_monitor::record_answer(const std::string& service,
                                 service_paths& paths, ports::steady_time now)
{
    if (paths.is_cut_off)
    {
        restore(service, paths, now);
        return;
    }
    paths.probed.clear();
    paths.failures.clear();
    if (paths.silent_since)
    {
        paths.usual_silence =
            std::max(paths.usual_silence, now - *paths.silent_since);
        paths.silent_since.reset();
    }
}

void path_monitor::finish_round(const std::string& service,
                                service_paths& paths, ports::steady_time now)
{
    const bool has_contact =
        paths.last_contact_at && *paths.last_contact_at > *paths.last_round_at;
    if (paths.is_round_silent && has_contact)
    {
        // The upstreams are too busy to respond to the probes.
        return;
    }
    if (paths.round == probe_round::sample)
    {
        cut_off(service, paths, now);
        return;
    }
    paths.due_round = probe_round::sample;
}

void path_monitor::cut_off(const std::string& service, service_paths& paths,
                           ports::steady_time now)
{
    paths.is_cut_off = true;
    paths.due_round.reset();
    paths.ended.clear();
    paths.probed.clear();
    paths.failures.clear();
    paths.silent_since.reset();
    paths.probe_interval = min_probe_interval;
    paths.next_probe_at = later_probe_at(paths, now);
    m_changes.push_back({service, true, paths.upstreams.size()});
}

void path_monitor::restore(const std::string& service, service_paths& paths,
                           ports::steady_time now)
{
    paths.is_cut_off = false;
    paths.restored_at = now;
    paths.failures.clear();
    m_changes.push_back({service, false, paths.upstreams.size()});
}

bool path_monitor::is_cut_off(const std::string& service,
                              ports::steady_time /*now*/) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && found->second.is_cut_off;
}

bool path_monitor::may_be_slow(const std::string& service) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && found->second.is_cut_off &&
           found->second.is_last_silent;
}

std::set<std::string>
path_monitor::cut_off_services(ports::steady_time /*now*/) const
{
    std::set<std::string> services;
    for (const auto& [service, paths] : m_services)
    {
        if (paths.is_cut_off)
        {
            services.insert(service);
        }
    }
    return services;
}

bool path_monitor::was_cut_off_since(const std::string& service,
                                     ports::steady_time since) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
    {
        return false;
    }
    const service_paths& paths = found->second;
    return paths.is_cut_off ||
           (paths.restored_at && *paths.restored_at >= since);
}

bool path_monitor::has_other_upstream(const std::string& service,
                                      const std::string& id) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
    {
        return false;
    }
    return found->second.upstreams.size() > found->second.upstreams.count(id);
}

bool path_monitor::is_in_contact(const std::string& service) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || !found->second.last_contact_at)
    {
        return false;
    }
    const service_paths& paths = found->second;
    return paths.suspicious_since &&
           *paths.last_contact_at > *paths.suspicious_since;
}

std::vector<path_change> path_monitor::take_changes()
{
    return std::exchange(m_changes, {});
}

bool path_monitor::has_changes() const
{
    return !m_changes.empty();
}

} // namespace turmeric::domain
