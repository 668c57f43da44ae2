#pragma once

#include "libraries/ports/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace turmeric::domain
{

/// What upstreams said of themselves in responses that this router received,
/// by `incarnation_of`. A restarted upstream has said nothing. Not thread safe.
class upstream_notices
{
public:
    /// Forgets upstreams that the list has not had for a long time. An upstream
    /// that is missing for a while, since the store has lost its entry, keeps
    /// what it said.
    void keep_only(const std::set<std::uint64_t>& incarnations,
                   ports::steady_time now);

    /// Records that an upstream said that it is leaving, for good. Returns
    /// whether it had not said so before.
    bool record_leaving(std::uint64_t incarnation, ports::steady_time now);

    /// Returns whether an upstream has said that it is leaving.
    [[nodiscard]] bool is_leaving(std::uint64_t incarnation) const;

    /// Records that an upstream wants no request from this router until
    /// `until`. A pause is never shortened. Returns whether this one begins or
    /// prolongs a pause.
    bool record_pause(std::uint64_t incarnation, ports::steady_time until,
                      ports::steady_time now);

    /// Returns when an upstream takes requests again, or nothing if it does
    /// now.
    [[nodiscard]] std::optional<ports::steady_time>
    paused_until(std::uint64_t incarnation, ports::steady_time now) const;

    /// Returns the earliest end of a pause, or nothing if no upstream pauses.
    [[nodiscard]] std::optional<ports::steady_time>
    next_pause_end(ports::steady_time now) const;

private:
    struct notice
    {
        bool is_leaving = false;
        std::optional<ports::steady_time> paused_until;
        /// When the upstream was last in the list, or said something.
        ports::steady_time last_known_at;
    };

    /// Returns null if there is no room for one more.
    notice* find_or_add(std::uint64_t incarnation, ports::steady_time now);

    std::map<std::uint64_t, notice> m_notices;
};

} // namespace turmeric::domain
