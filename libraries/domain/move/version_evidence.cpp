#include "libraries/domain/move/version_evidence.hpp"

#include <cmath>

namespace turmeric::domain
{

void version_evidence::record(const request_observation& observation)
{
    ++requests;
    failures += observation.is_failure ? 1 : 0;
    if (observation.first_token)
    {
        first_token.record(*observation.first_token);
    }
    if (observation.worst_gap)
    {
        worst_gap.record(*observation.worst_gap);
    }
}

void version_evidence::merge(const version_evidence& other)
{
    requests += other.requests;
    failures += other.failures;
    first_token.merge(other.first_token);
    worst_gap.merge(other.worst_gap);
}

version_tally version_evidence::tally(const latency_limits& limits) const
{
    return {{proportion{requests, failures},
             first_token.above(limits.first_token),
             worst_gap.above(limits.token_gap)}};
}

tally_pair tally_of(const version_evidence& from, const version_evidence& to,
                    const latency_limits& limits)
{
    const auto stretched = [](std::chrono::microseconds limit)
    {
        return std::chrono::microseconds(std::llround(
            static_cast<double>(limit.count()) * tolerated_slowdown));
    };
    const latency_limits tolerant{stretched(limits.first_token),
                                  stretched(limits.token_gap)};
    return {from.tally(limits), to.tally(tolerant)};
}

} // namespace turmeric::domain
