#include "libraries/domain/move/version_picker.hpp"

#include "libraries/domain/digest.hpp"
#include "libraries/domain/move/move_state.hpp"

namespace turmeric::domain
{

std::int32_t version_picker::bucket_of(std::string_view route,
                                       std::string_view request_id)
{
    const std::uint64_t digest = digest_of(request_id, digest_of(route));
    return static_cast<std::int32_t>(digest % full_share);
}

std::string version_picker::pick(const std::vector<version_share>& shares,
                                 std::int32_t bucket)
{
    std::int32_t covered = 0;
    for (const version_share& share : shares)
    {
        covered += share.parts_per_million;
        if (bucket < covered)
        {
            return share.version;
        }
    }
    return shares.empty() ? std::string() : shares.back().version;
}

} // namespace turmeric::domain
