#include "libraries/drivers/exchange/peer_choice.hpp"

#include <cstdint>

namespace turmeric::drivers
{

namespace
{

/// The fraction of a data centre's routers that must reach the service.
constexpr std::size_t min_reaching_numerator = 2;
constexpr std::size_t min_reaching_denominator = 3;

bool reaches(const peer_path& peer, const std::string& service)
{
    return !peer.cut_off_services.contains(service);
}

bool is_own_data_centre_preferred(const std::vector<peer_path>& peers,
                                  const peer_choice_request& request)
{
    // This router counts as one that does not reach the service.
    std::size_t routers = 1;
    std::size_t reaching = 0;
    for (const peer_path& peer : peers)
    {
        const bool is_near = peer.data_centre == request.data_centre;
        routers += is_near ? 1 : 0;
        reaching += is_near && reaches(peer, request.service) ? 1 : 0;
    }
    return reaching * min_reaching_denominator >=
           routers * min_reaching_numerator;
}

std::vector<const peer_path*>
list_candidates(const std::vector<peer_path>& peers,
                const peer_choice_request& request, bool is_own_only)
{
    std::vector<const peer_path*> candidates;
    for (const peer_path& peer : peers)
    {
        const bool is_in_scope =
            !is_own_only || peer.data_centre == request.data_centre;
        if (is_in_scope && reaches(peer, request.service) &&
            !request.tried.contains(peer.caller_address))
        {
            candidates.push_back(&peer);
        }
    }
    return candidates;
}

} // namespace

std::optional<std::string> choose_peer(const std::vector<peer_path>& peers,
                                       const peer_choice_request& request,
                                       ports::random_source& random)
{
    std::vector<const peer_path*> candidates;
    if (is_own_data_centre_preferred(peers, request))
    {
        candidates = list_candidates(peers, request, true);
    }
    if (candidates.empty())
    {
        candidates = list_candidates(peers, request, false);
    }
    if (candidates.empty())
    {
        return std::nullopt;
    }
    const std::uint64_t drawn = random.next() % candidates.size();
    return candidates[static_cast<std::size_t>(drawn)]->caller_address;
}

} // namespace turmeric::drivers
