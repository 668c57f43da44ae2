#include "services/router/shard_committer_selection.hpp"

#include "libraries/domain/digest.hpp"
#include "libraries/domain/routing/rendezvous.hpp"

namespace turmeric::router
{

std::string select_shard_committer(const domain::membership_snapshot& fleet,
                                   std::int32_t shard)
{
    std::uint64_t key = domain::digest_of(std::to_string(shard));
    const domain::member* best = nullptr;
    std::uint64_t best_rank = 0;
    for (const domain::member_status& candidate : fleet.members)
    {
        const domain::member& identity = candidate.row.identity;
        std::uint64_t rank =
            domain::rank_of(key, domain::digest_of(identity.incarnation));
        if (candidate.is_eligible && (best == nullptr || rank > best_rank))
        {
            best = &identity;
            best_rank = rank;
        }
    }
    bool is_this_router = best == nullptr || best->incarnation == fleet.self;
    return is_this_router ? std::string() : best->peer_address;
}

} // namespace turmeric::router
