#pragma once

#include "libraries/drivers/exchange/fleet_view.hpp"
#include "libraries/ports/random_source.hpp"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace turmeric::drivers
{

/// What the choice of a peer for a request depends on.
struct peer_choice_request
{
    std::string service;
    /// The data centre of this router.
    std::string data_centre;
    /// Caller addresses of peers that the request was already sent to.
    std::set<std::string> tried;
};

/// Chooses at random one of the peers that reach the service, and returns its
/// caller address; nothing if there is none. The choice is limited to the own
/// data centre as long as most of its routers reach the service, so that a few
/// of them do not receive the requests of all others. Thread safe.
[[nodiscard]] std::optional<std::string>
choose_peer(const std::vector<peer_path>& peers,
            const peer_choice_request& request, ports::random_source& random);

} // namespace turmeric::drivers
