#include "libraries/domain/move/rollout_order.hpp"

#include "libraries/domain/digest.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace turmeric::domain
{

namespace
{

/// The part of the time limit in which the new version gets all requests, so
/// that those of the old one end before it is stopped.
constexpr int soak_divisor = 8;
constexpr std::chrono::seconds min_soak{1};
/// The new version's further shares before it gets all requests, as multiples
/// of the first one. Its upstreams read the common prompts meanwhile.
constexpr std::int32_t second_step = 2;
constexpr std::int32_t third_step = 5;

} // namespace

std::uint64_t identity_of(const rollout_order& order)
{
    return digest_of(fmt::format("{}\n{}\n{}\n{}", order.service,
                                 order.to_version, order.time_limit.count(),
                                 order.revision));
}

move_declaration declare_move(const rollout_order& order,
                              std::int32_t first_share)
{
    move_declaration declared;
    declared.route = order.service;
    declared.to_version = order.to_version;
    declared.deadline = declared.start + order.time_limit;
    declared.steps = {
        first_share, std::min(full_share, second_step * first_share),
        std::min(full_share, third_step * first_share), full_share};
    declared.soak =
        std::max(min_soak, std::chrono::duration_cast<std::chrono::seconds>(
                               order.time_limit / soak_divisor));
    return declared;
}

move_state initial_state(const rollout_order& order, std::int32_t first_share)
{
    move_state state = initial_state(declare_move(order, first_share));
    state.identity = identity_of(order);
    return state;
}

} // namespace turmeric::domain
