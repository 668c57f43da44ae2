#include "libraries/drivers/move/move_targets.hpp"

#include <algorithm>

namespace turmeric::drivers
{

const domain::move_declaration*
find_declaration(const domain::configuration& declared,
                 const domain::move_state& state)
{
    const auto found = std::find_if(
        declared.moves.begin(), declared.moves.end(),
        [&state](const domain::move_declaration& candidate)
        { return domain::identity_of(candidate) == state.identity; });
    return found == declared.moves.end() ? nullptr : &*found;
}

std::vector<const domain::upstream_declaration*>
engines_to_load(const domain::configuration& declared,
                const domain::move_state& state)
{
    const auto route =
        std::find_if(declared.routes.begin(), declared.routes.end(),
                     [&state](const domain::route_declaration& candidate)
                     { return candidate.name == state.route; });
    std::vector<const domain::upstream_declaration*> engines;
    if (route == declared.routes.end() ||
        route->kind != domain::route_kind::engine)
    {
        return engines;
    }
    for (const domain::upstream_declaration& upstream : declared.upstreams)
    {
        const bool has_version =
            std::find(upstream.versions.begin(), upstream.versions.end(),
                      state.to_version) != upstream.versions.end();
        if (has_version && upstream.state == domain::upstream_state::serving)
        {
            engines.push_back(&upstream);
        }
    }
    return engines;
}

bool has_loaded(const domain::move_state& state, const std::string& upstream)
{
    return std::find(state.ready_upstreams.begin(), state.ready_upstreams.end(),
                     upstream) != state.ready_upstreams.end();
}

bool have_all_engines_loaded(const domain::configuration& declared,
                             const domain::move_state& state)
{
    const std::vector<const domain::upstream_declaration*> engines =
        engines_to_load(declared, state);
    return std::all_of(engines.begin(), engines.end(),
                       [&state](const domain::upstream_declaration* engine)
                       { return has_loaded(state, engine->name); });
}

} // namespace turmeric::drivers
