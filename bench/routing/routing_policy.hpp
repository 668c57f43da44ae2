#pragma once

#include "libraries/domain/routing/choice.hpp"
#include "libraries/ports/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmeric::bench
{

/// Chooses upstreams for one router in a run. Not thread safe.
class routing_policy
{
public:
    routing_policy() = default;
    routing_policy(const routing_policy&) = delete;
    routing_policy& operator=(const routing_policy&) = delete;
    virtual ~routing_policy() = default;

    /// Returns the index of an upstream, or nothing if the request must wait
    /// in the router. Not thread safe.
    virtual std::optional<std::size_t> choose(std::uint64_t prefix,
                                              ports::steady_time now) = 0;

    /// Records the end of a request. Not thread safe.
    virtual void finish(std::size_t upstream, ports::steady_time now) = 0;

    /// Records a load report that was taken at `taken_at`, before it arrives
    /// here. Not thread safe.
    virtual void update_load(std::size_t upstream, std::int64_t running,
                             std::int64_t waiting,
                             ports::steady_time taken_at) = 0;

    /// Returns this router's weight in locate responses. Not thread safe.
    [[nodiscard]] virtual std::int64_t locate_weight() const
    {
        return 1;
    }
};

/// The router that a policy is made for, and the sizes of the fleet.
struct policy_settings
{
    std::size_t router = 0;
    std::size_t routers = 1;
    std::size_t upstreams = 1;
    std::int32_t capacity = 1;
    std::uint64_t seed = 0;
};

/// Makes the policy of one router: "shares" (the one that turmericfront uses),
/// "round_robin", "random", "least_loaded" or "two_choices". Precondition:
/// `name` is one of these.
/// Thread safe.
[[nodiscard]] std::unique_ptr<routing_policy>
make_policy(std::string_view name, const policy_settings& settings);

} // namespace turmeric::bench
