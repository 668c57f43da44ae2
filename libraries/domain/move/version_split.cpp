#include "libraries/domain/move/version_split.hpp"

#include "libraries/domain/move/move_state.hpp"

#include <algorithm>

namespace turmeric::domain
{

namespace
{

/// Of a move, this many routes are counted by themselves and the others
/// together, under an empty name.
constexpr std::size_t max_counted_routes = 16;
constexpr std::size_t max_usual_times = 1'024;
/// Unused parts of a share add up to this many requests.
constexpr double max_credit = 3.0;
/// From this credit on, any route's request tries the new version out.
constexpr double credit_for_any_route = 2.0;
/// A request is slow if it takes longer than usual by this factor.
constexpr double slow_factor = 2.5;
/// The same for a new version that has all requests: its upstreams have read
/// few of the common prompts, and no other version shows what is usual then.
constexpr double slow_factor_of_full_share = 4.0;
/// Requests of a route from which on its usual time is known.
constexpr std::int64_t min_usual_count = 5;
/// Least weight of a request in the usual time.
constexpr double min_weight = 0.05;
/// A longer time counts as this multiple of the usual one in the mean.
constexpr double max_outlier_factor = 4.0;

/// Draws a number from 0 to below 1.
double draw_fraction(ports::random_source& random)
{
    constexpr std::uint64_t steps = 1 << 20;
    return static_cast<double>(random.next() % steps) / steps;
}

/// Returns whether a version is tried out: it gets some of the requests, or
/// none any more.
bool is_on_trial(std::int32_t share)
{
    return share < full_share;
}

} // namespace

void version_split::set_splits(const std::vector<service_split>& splits,
                               ports::random_source& random)
{
    std::map<std::string, split_state> next;
    for (const service_split& split : splits)
    {
        const auto found = m_splits.find(split.service);
        split_state state;
        if (found != m_splits.end() &&
            found->second.split.identity == split.identity)
        {
            state = std::move(found->second);
        }
        const bool was_without_share = state.split.share == 0;
        state.split = split;
        if (was_without_share && split.share > 0)
        {
            // The fraction makes the routers' sum the share of all requests.
            state.credit = split.first_requests + draw_fraction(random);
        }
        next.emplace(split.service, std::move(state));
    }
    m_splits = std::move(next);
}

void version_split::set_upstreams(const std::vector<upstream_entry>& entries,
                                  ports::steady_time now)
{
    std::map<std::uint64_t, ports::steady_time> cold_until;
    m_serving_versions.clear();
    for (const upstream_entry& entry : entries)
    {
        if (entry.state == upstream_state::serving)
        {
            m_serving_versions.emplace(entry.service, entry.version);
        }
        const std::uint64_t incarnation = incarnation_of(entry);
        const auto known = m_cold_until.find(incarnation);
        const ports::steady_time end = now + entry.cold_left;
        cold_until[incarnation] =
            known == m_cold_until.end() ? end : std::min(end, known->second);
    }
    m_cold_until = std::move(cold_until);
}

const version_split::split_state*
version_split::find(const std::string& service) const
{
    const auto found = m_splits.find(service);
    return found == m_splits.end() ? nullptr : &found->second;
}

bool version_split::has_serving(const std::string& service,
                                const std::string& version) const
{
    return m_serving_versions.count({service, version}) > 0;
}

version_choice version_split::regular_choice(const std::string& service) const
{
    const split_state* const state = find(service);
    if (state == nullptr)
    {
        return {};
    }
    const std::string& version = state->split.to_version;
    if (is_on_trial(state->split.share))
    {
        return {"", version};
    }
    return has_serving(service, version) ? version_choice{version, ""}
                                         : version_choice{};
}

std::optional<std::string>
version_split::trial_version(const std::string& service,
                             const std::string& route) const
{
    const split_state* const state = find(service);
    if (state == nullptr || state->split.share == 0 ||
        !is_on_trial(state->split.share) || state->credit < 1)
    {
        return std::nullopt;
    }
    const auto counts = state->routes.find(route);
    const std::int64_t sent =
        counts == state->routes.end() ? 0 : counts->second.sent_to_new;
    const bool is_in_turn =
        sent * static_cast<std::int64_t>(state->routes.size()) <=
        state->sent_to_new;
    if (!is_in_turn && state->credit < credit_for_any_route)
    {
        return std::nullopt;
    }
    return state->split.to_version;
}

version_split::route_counts& version_split::counts_of(split_state& state,
                                                      const std::string& route)
{
    const bool is_counted = state.routes.count(route) > 0 ||
                            state.routes.size() < max_counted_routes;
    return state.routes[is_counted ? route : std::string()];
}

void version_split::record_sent(const std::string& service,
                                const std::string& version,
                                const std::string& route)
{
    const auto found = m_splits.find(service);
    if (found == m_splits.end())
    {
        return;
    }
    split_state& state = found->second;
    const double earned = static_cast<double>(state.split.share) / full_share;
    const double highest = std::max(max_credit, state.credit);
    state.credit = std::min(highest, state.credit + earned);
    route_counts& counts = counts_of(state, route);
    if (version == state.split.to_version)
    {
        state.credit -= 1;
        ++state.sent_to_new;
        ++counts.sent_to_new;
    }
}

std::optional<bool> version_split::is_slow(const version_outcome& outcome,
                                           ports::steady_time now) const
{
    const auto cold = m_cold_until.find(outcome.incarnation);
    const bool is_cold = cold != m_cold_until.end() && now < cold->second;
    const auto usual = m_usual_times.find({outcome.service, outcome.route});
    if (!outcome.relative_time || is_cold || usual == m_usual_times.end() ||
        usual->second.count < min_usual_count)
    {
        return std::nullopt;
    }
    const split_state* const state = find(outcome.service);
    const bool has_all = state != nullptr && !is_on_trial(state->split.share);
    const double factor = has_all ? slow_factor_of_full_share : slow_factor;
    return *outcome.relative_time > factor * usual->second.mean;
}

void version_split::record_usual(const version_outcome& outcome)
{
    const std::pair<std::string, std::string> key{outcome.service,
                                                  outcome.route};
    const bool is_complete = outcome.is_failure && !*outcome.is_failure;
    const bool has_room =
        m_usual_times.size() < max_usual_times || m_usual_times.count(key) > 0;
    if (!is_complete || !outcome.relative_time || !has_room)
    {
        return;
    }
    usual_time& usual = m_usual_times[key];
    ++usual.count;
    const double weight =
        std::max(min_weight, 1.0 / static_cast<double>(usual.count));
    const double observed =
        usual.count <= min_usual_count
            ? *outcome.relative_time
            : std::min(*outcome.relative_time, max_outlier_factor * usual.mean);
    usual.mean += weight * (observed - usual.mean);
}

bool version_split::record(const version_outcome& outcome,
                           ports::steady_time now)
{
    const auto found = m_splits.find(outcome.service);
    const bool is_new = found != m_splits.end() &&
                        outcome.version == found->second.split.to_version;
    const std::optional<bool> is_slow_one = is_slow(outcome, now);
    if (!is_new)
    {
        record_usual(outcome);
    }
    // A request that was given up early shows nothing.
    const bool is_counted = outcome.is_failure || is_slow_one.value_or(false);
    if (found == m_splits.end() || !is_counted)
    {
        return false;
    }
    tally_pair& pair = counts_of(found->second, outcome.route).tally;
    version_tally& tally = is_new ? pair.to : pair.from;
    const auto count = [&tally](judged_property property, bool is_hit)
    {
        proportion& counted = tally.counts[static_cast<std::size_t>(property)];
        ++counted.trials;
        counted.hits += is_hit ? 1 : 0;
    };
    if (outcome.is_failure)
    {
        count(judged_property::failure, *outcome.is_failure);
    }
    if (is_slow_one)
    {
        count(judged_property::slow_first_token, *is_slow_one);
    }
    return is_new &&
           (outcome.is_failure.value_or(false) || is_slow_one.value_or(false));
}

std::vector<move_report> version_split::report() const
{
    std::vector<move_report> reports;
    for (const auto& [service, state] : m_splits)
    {
        move_report report;
        report.identity = state.split.identity;
        for (const auto& [route, counts] : state.routes)
        {
            report.routes.emplace(route, counts.tally);
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

} // namespace turmeric::domain
