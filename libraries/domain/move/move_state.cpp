#include "libraries/domain/move/move_state.hpp"

#include "libraries/domain/digest.hpp"

#include <fmt/format.h>

namespace turmeric::domain
{

std::uint64_t identity_of(const move_declaration& declared)
{
    return digest_of(fmt::format("{}\n{}\n{}\n{}\n{}", declared.route,
                                 declared.from_version, declared.to_version,
                                 declared.start.time_since_epoch().count(),
                                 declared.deadline.time_since_epoch().count()));
}

move_state initial_state(const move_declaration& declared)
{
    move_state state;
    state.route = declared.route;
    state.from_version = declared.from_version;
    state.to_version = declared.to_version;
    state.identity = identity_of(declared);
    state.capped_share = declared.steps.empty() ? 0 : declared.steps.front();
    state.deadline = declared.deadline;
    state.since = declared.start;
    return state;
}

} // namespace turmeric::domain
