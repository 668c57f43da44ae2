#pragma once

#include "libraries/domain/callers/caller_request.hpp"
#include "libraries/ports/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace turmeric::domain
{

/// What requests have in common under which upstreams have ended.
enum class suspect_kind : std::uint8_t
{
    /// A part of their prompts. Many sound requests may share it with them.
    prompt_part,
    /// They are repeats of one request. Its end under another upstream is far
    /// stronger evidence, so that ends at one time may count each.
    request,
};

/// Identifies a prompt part, or a request by its fingerprint.
struct suspect_id
{
    suspect_kind kind = suspect_kind::prompt_part;
    std::uint64_t value = 0;

    bool operator==(const suspect_id&) const = default;

    /// Orders by the kind, then by the value. Thread safe.
    bool operator<(const suspect_id& other) const
    {
        return std::tie(kind, value) < std::tie(other.kind, other.value);
    }
};

/// Returns the first parts of a prompt but the last one, which is the request's
/// own. Thread safe.
[[nodiscard]] std::vector<suspect_id>
list_shared_parts(const prompt_description& prompt);

/// The end of one incarnation of an upstream while it began its response to a
/// request with a certain suspect.
struct observed_end
{
    /// The digest of the upstream's id and start time.
    std::uint64_t incarnation = 0;
    ports::steady_time at;
    /// When the last response to any request had begun, as the observing router
    /// knew it. If that was before another end, both may have a cause that
    /// stops all responses.
    ports::steady_time output_at;
};

/// A prompt part, or a request, under which upstreams have ended, as one router
/// knows it and reports it to its peers.
struct suspect_part
{
    suspect_id id;
    /// In the order of their times. Those of a prompt part were each at a time
    /// of its own: well after the one before, with a response to any request in
    /// between.
    std::vector<observed_end> ends;
    /// When an upstream began a response that did not end it, for a request
    /// with this part. Earlier ends do not count.
    std::optional<ports::steady_time> cleared_at;
    /// The last request or end with this part that the fleet knows of.
    ports::steady_time last_seen;
    /// Trial requests since the part was blocked.
    std::int32_t trials = 0;
};

/// Adds an end unless it is cleared, known, or not at a time of its own.
/// Returns whether it was added. Not thread safe.
bool add_end(suspect_part& suspect, const observed_end& added);

/// Drops the ends until `cleared_at`. Returns whether there were any. Not
/// thread safe.
bool clear_until(suspect_part& suspect, ports::steady_time cleared_at);

/// Returns the ends that count against a suspect. Ends of a request that are
/// close together count as one if another upstream, under which the request did
/// not run, ended at about that time too: they then have a common cause.
/// `all_ends` are all known ends of upstreams, by time, with their
/// incarnations. Thread safe.
[[nodiscard]] std::size_t
count_ends(const suspect_part& suspect,
           const std::multimap<ports::steady_time, std::uint64_t>& all_ends);

/// The number of ends for which requests with a suspect are refused.
constexpr std::size_t ends_to_block = 3;

/// Returns a part that was blocked at `blocked_at` by routers that have been
/// stopped since; only one more trial is made. Thread safe.
[[nodiscard]] suspect_part make_blocked_part(const suspect_id& id,
                                             ports::steady_time blocked_at,
                                             ports::steady_time now);

} // namespace turmeric::domain
