#include "bench/routing/routing_policy.hpp"

#include "libraries/domain/digest.hpp"
#include "libraries/domain/routing/share_table.hpp"
#include "libraries/domain/routing/upstream_selector.hpp"

#include <algorithm>
#include <cassert>
#include <random>

namespace turmeric::bench
{

namespace
{

std::string name_of(const char* kind, std::size_t index)
{
    constexpr std::size_t digits = 4;
    std::string number = std::to_string(index);
    return kind + std::string(digits - number.size(), '0') + number;
}

/// The policy of the turmericfront router: shares of each upstream's capacity,
/// prefix affinity and load reports.
class shares_policy final : public routing_policy
{
public:
    explicit shares_policy(const policy_settings& settings)
        : m_selector(domain::selector_limits{})
    {
        domain::epoch_record record;
        record.revision = 1;
        domain::router_epoch& epoch = record.epochs.emplace_back();
        epoch.number = 1;
        for (std::size_t index = 0; index < settings.routers; ++index)
        {
            epoch.routers.push_back(name_of("router", index));
        }
        std::vector<domain::upstream_declaration> upstreams;
        for (std::size_t index = 0; index < settings.upstreams; ++index)
        {
            domain::upstream_declaration& upstream = upstreams.emplace_back();
            upstream.name = name_of("upstream", index);
            upstream.versions = {"v1"};
            upstream.capacity = settings.capacity;
        }
        domain::share_table table(name_of("router", settings.router));
        table.update(record, {});
        m_selector.update(table.plan(upstreams));
    }

    std::optional<std::size_t> choose(std::uint64_t prefix,
                                      ports::steady_time now) override
    {
        m_request.prefix = prefix;
        result<domain::upstream_choice> chosen =
            m_selector.choose(m_request, now);
        if (!chosen)
        {
            return std::nullopt;
        }
        constexpr std::size_t digits_at = sizeof("upstream") - 1;
        return std::stoul(chosen.value().upstream.substr(digits_at));
    }

    void finish(std::size_t upstream, ports::steady_time now) override
    {
        m_selector.finish({name_of("upstream", upstream), ""},
                          domain::call_result::succeeded, now);
    }

    void update_load(std::size_t upstream, std::int64_t running,
                     std::int64_t waiting, ports::steady_time taken_at) override
    {
        m_selector.update_load(
            {name_of("upstream", upstream), running, waiting, taken_at});
    }

    [[nodiscard]] std::int64_t locate_weight() const override
    {
        return m_selector.total_share();
    }

private:
    domain::upstream_selector m_selector;
    domain::choice_request m_request{"route", "v1", 0, "", {}};
};

/// Base of the policies for comparison, which use load reports but no shares.
class baseline_policy : public routing_policy
{
public:
    explicit baseline_policy(const policy_settings& settings)
        : m_reported_loads(settings.upstreams, 0)
        , m_random(settings.seed + settings.router)
    {
    }

    void finish(std::size_t, ports::steady_time) override {}

    void update_load(std::size_t upstream, std::int64_t running,
                     std::int64_t waiting, ports::steady_time) override
    {
        m_reported_loads[upstream] = running + waiting;
    }

protected:
    std::size_t draw_upstream()
    {
        return m_random() % m_reported_loads.size();
    }

    std::vector<std::int64_t> m_reported_loads;

private:
    std::mt19937_64 m_random;
};

class random_policy final : public baseline_policy
{
public:
    using baseline_policy::baseline_policy;

    std::optional<std::size_t> choose(std::uint64_t,
                                      ports::steady_time) override
    {
        return draw_upstream();
    }
};

class round_robin_policy final : public baseline_policy
{
public:
    explicit round_robin_policy(const policy_settings& settings)
        : baseline_policy(settings)
        , m_next(draw_upstream())
    {
    }

    std::optional<std::size_t> choose(std::uint64_t,
                                      ports::steady_time) override
    {
        m_next = (m_next + 1) % m_reported_loads.size();
        return m_next;
    }

private:
    std::size_t m_next;
};

class least_loaded_policy final : public baseline_policy
{
public:
    using baseline_policy::baseline_policy;

    std::optional<std::size_t> choose(std::uint64_t,
                                      ports::steady_time) override
    {
        std::size_t first = draw_upstream();
        std::size_t best = first;
        for (std::size_t step = 1; step < m_reported_loads.size(); ++step)
        {
            std::size_t index = (first + step) % m_reported_loads.size();
            best =
                m_reported_loads[index] < m_reported_loads[best] ? index : best;
        }
        return best;
    }
};

class two_choices_policy final : public baseline_policy
{
public:
    using baseline_policy::baseline_policy;

    std::optional<std::size_t> choose(std::uint64_t,
                                      ports::steady_time) override
    {
        std::size_t one = draw_upstream();
        std::size_t other = draw_upstream();
        return m_reported_loads[one] <= m_reported_loads[other] ? one : other;
    }
};

} // namespace

std::unique_ptr<routing_policy> make_policy(std::string_view name,
                                            const policy_settings& settings)
{
    if (name == "shares")
    {
        return std::make_unique<shares_policy>(settings);
    }
    if (name == "round_robin")
    {
        return std::make_unique<round_robin_policy>(settings);
    }
    if (name == "random")
    {
        return std::make_unique<random_policy>(settings);
    }
    if (name == "least_loaded")
    {
        return std::make_unique<least_loaded_policy>(settings);
    }
    assert(name == "two_choices");
    return std::make_unique<two_choices_policy>(settings);
}

} // namespace turmeric::bench
