#pragma once

#include "libraries/domain/callers/caller_request.hpp"
#include "libraries/ports/clock.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace turmeric::domain
{

/// Which prompt parts one upstream has lately read for this router. Bounded;
/// the least recently used parts are forgotten. Not thread safe.
class prefix_cache_index
{
public:
    /// Notes that the upstream reads these parts now. No precondition.
    void note(const std::vector<prompt_part>& parts, ports::steady_time now);

    /// Returns how many of the tokens the upstream need not read again: those
    /// of the leading parts that it has. No precondition.
    [[nodiscard]] std::int64_t
    cached_tokens(const std::vector<prompt_part>& parts,
                  ports::steady_time now) const;

private:
    void forget_old(ports::steady_time now);

    std::unordered_map<std::uint64_t, ports::steady_time> m_last_use;
    ports::steady_time m_swept{};
};

} // namespace turmeric::domain
