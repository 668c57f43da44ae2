#pragma once

#include "libraries/domain/callers/caller_request.hpp"
#include "libraries/domain/crashing_parts/suspect_part.hpp"
#include "libraries/domain/membership/router_ranking.hpp"
#include "libraries/ports/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace turmeric::domain
{

/// What is to be done with a request, by the parts of its prompt.
enum class part_verdict : std::uint8_t
{
    allowed,
    /// The request is not sent to any upstream.
    blocked,
    /// The request is sent, but only once, to find out whether a blocked part
    /// still ends upstreams.
    trial,
};

/// Finds prompt parts that crash every upstream that begins a response to
/// them, and blocks them in the whole fleet.
///
/// When an upstream ends, all parts of the requests that were beginning there
/// are suspects, except each request's last part, which is its own. Routers
/// exchange their suspects, since each of them sees few of the ends. A part is
/// blocked after ends at three different times, if no response to it went on in
/// between. Ends close together, or without a response to any prompt in
/// between, count as one time, since they more likely have a common cause, such
/// as the loss of a data centre. A part that sound requests share is cleared by
/// their responses.
///
/// One router of the fleet sends trial requests with a blocked part, late and
/// few, in case the block is wrong. Not thread safe.
class crashing_part_detector
{
public:
    /// Sets the routers of the fleet, one of which makes the trials.
    void set_routers(const router_ranking& routers);

    /// Records that an upstream ended while it began its response to `prompt`.
    /// Returns whether peers should learn of it soon.
    bool record_end(const prompt_description& prompt, std::uint64_t incarnation,
                    ports::steady_time now);

    /// Records the first output of a response to any prompt.
    void record_output(ports::steady_time now);

    /// Records that an upstream began its response to `prompt` at `began_at`
    /// and did not end because of it.
    void record_success(const prompt_description& prompt,
                        ports::steady_time began_at, ports::steady_time now);

    /// Adds the suspects of a peer. Ends that a response seen here has cleared
    /// since do not count.
    void merge(const std::vector<suspect_part>& reported,
               ports::steady_time now);

    /// Decides on a new request. The verdict `trial` is given to one request.
    [[nodiscard]] part_verdict judge(const prompt_description& prompt,
                                     ports::steady_time now);

    /// Returns whether a part of the prompt is blocked.
    [[nodiscard]] bool is_blocked(const prompt_description& prompt) const;

    /// Returns whether a request that failed as its upstream ended may be sent
    /// to another one: not if upstreams ended under one of its parts before.
    [[nodiscard]] bool may_retry(const prompt_description& prompt) const;

    /// Returns suspects for the peers, at most a fixed number: those that are
    /// blocked or were observed lately, and a few of the others in turn, so
    /// that peers that missed them or have just started learn of all.
    [[nodiscard]] std::vector<suspect_part> report(ports::steady_time now);

    /// Forgets the parts that were cleared, or that no request had for long.
    void forget_unseen(ports::steady_time now);

    /// Returns the number of blocked parts.
    [[nodiscard]] std::size_t blocked_count() const;

private:
    struct tracked_part
    {
        suspect_part part;
        /// When this router last saw an end or a response that changed what is
        /// known of the part. Reports of peers do not count, since each router
        /// reports what it saw to all others.
        ports::steady_time observed_at;
    };

    /// Returns the suspect with an id; adds it if it is not known.
    tracked_part& find_or_add(std::uint64_t id);
    void remember_success(std::uint64_t id, ports::steady_time began_at);
    [[nodiscard]] std::optional<ports::steady_time>
    find_success(std::uint64_t id) const;
    [[nodiscard]] const suspect_part*
    find_worst(const prompt_description& prompt) const;
    [[nodiscard]] bool is_trial_due(const suspect_part& suspect,
                                    ports::steady_time now) const;
    void limit_size();

    router_ranking m_routers;
    /// By the id of the part.
    std::map<std::uint64_t, tracked_part> m_suspects;
    /// The id at which the next report in turn continues.
    std::uint64_t m_next_reported = 0;
    /// When the last response that went on had begun, by part: the latest ones
    /// and, until those are as many, the ones before. Bounds the memory.
    std::unordered_map<std::uint64_t, ports::steady_time> m_successes;
    std::unordered_map<std::uint64_t, ports::steady_time> m_older_successes;
    /// When a response to any prompt last began, as far as this router knows.
    ports::steady_time m_output_at{};
};

} // namespace turmeric::domain
