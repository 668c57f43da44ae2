#pragma once

#include "libraries/domain/callers/caller_request.hpp"
#include "libraries/domain/crashing_parts/suspect_part.hpp"
#include "libraries/domain/membership/router_ranking.hpp"
#include "libraries/ports/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace turmeric::domain
{

/// What is to be done with a request, by its suspects.
enum class crash_verdict : std::uint8_t
{
    allowed,
    /// The request is not sent to any upstream.
    blocked,
    /// The request is sent, but only once, to find out whether it still ends
    /// upstreams.
    trial,
};

/// Finds prompt parts and whole requests that crash every upstream that begins
/// a response to them, and blocks them in the whole fleet.
///
/// When an upstream ends, all requests that were beginning there are suspects,
/// and so are the parts of their prompts except each request's last part, which
/// is its own. Routers exchange their suspects, since each of them sees few of
/// the ends. A part is blocked after ends at three different times, if no
/// response to it went on in between. Ends close together, or without a
/// response to any request in between, count as one time, since they more
/// likely have a common cause, such as the loss of a data centre. A request is
/// blocked after ends of three upstreams, at one time too, unless another
/// upstream ended then that did not run it. What sound requests share, or a
/// sound request that many callers send, is cleared by their responses.
///
/// One router of the fleet sends trial requests with a blocked suspect, late
/// and few, in case the block is wrong. Not thread safe.
class crashing_part_detector
{
public:
    /// Sets the routers of the fleet, one of which makes the trials.
    void set_routers(const router_ranking& routers);

    /// Records that an upstream ended while it began its response to a request
    /// with these suspects. Returns whether peers should learn of it soon.
    bool record_end(const std::vector<suspect_id>& ids,
                    std::uint64_t incarnation, ports::steady_time now);

    /// Returns the end of an upstream at `now`, as it would be recorded now.
    [[nodiscard]] observed_end make_end(std::uint64_t incarnation,
                                        ports::steady_time now) const;

    /// The same for an end that was observed earlier. Suspects that a response
    /// has cleared since are left out.
    bool record_end(const std::vector<suspect_id>& ids, const observed_end& end,
                    ports::steady_time now);

    /// Records the first output of a response to any request.
    void record_output(ports::steady_time now);

    /// Records that an upstream began its response to such a request at
    /// `began_at` and did not end because of it.
    void record_success(const std::vector<suspect_id>& ids,
                        ports::steady_time began_at, ports::steady_time now);

    /// Adds the suspects of a peer. Ends that a response seen here has cleared
    /// since do not count.
    void merge(const std::vector<suspect_part>& reported,
               ports::steady_time now);

    /// Decides on a new request. The verdict `trial` is given to one request.
    [[nodiscard]] crash_verdict judge(const std::vector<suspect_id>& ids,
                                      ports::steady_time now);

    /// Returns the blocked one of the suspects; nothing if none is blocked.
    [[nodiscard]] std::optional<suspect_id>
    find_blocked(const std::vector<suspect_id>& ids) const;

    /// Returns whether a request that failed as its upstream ended may be sent
    /// to another one: not if upstreams ended under one of its suspects before.
    /// `unconfirmed_ends` is the number of ends that are not recorded yet.
    [[nodiscard]] bool may_retry(const std::vector<suspect_id>& ids,
                                 std::size_t unconfirmed_ends = 0) const;

    /// Returns whether any whole request is a suspect, so that the fingerprints
    /// of requests matter.
    [[nodiscard]] bool has_suspect_requests() const;

    /// Returns the blocked suspects.
    [[nodiscard]] std::vector<suspect_id> list_blocked() const;

    /// Returns suspects for the peers, at most a fixed number: those that are
    /// blocked or were observed lately, and a few of the others in turn, so
    /// that peers that missed them or have just started learn of all.
    [[nodiscard]] std::vector<suspect_part> report(ports::steady_time now);

    /// Forgets what was cleared, or what no request had for long.
    void forget_unseen(ports::steady_time now);

    /// Returns the number of blocked suspects of a kind.
    [[nodiscard]] std::size_t blocked_count(suspect_kind kind) const;

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
    tracked_part& find_or_add(const suspect_id& id);
    void remember_success(const suspect_id& id, ports::steady_time began_at);
    [[nodiscard]] std::optional<ports::steady_time>
    find_success(const suspect_id& id) const;
    void remember_end(std::uint64_t incarnation, ports::steady_time at);
    [[nodiscard]] bool is_blocked(const suspect_part& suspect) const;
    /// Returns the suspect with the most ends that count; null if there is
    /// none.
    [[nodiscard]] const suspect_part*
    find_worst(const std::vector<suspect_id>& ids) const;
    /// Returns the suspects of a kind that peers should learn of first.
    [[nodiscard]] std::vector<suspect_part>
    list_urgent(suspect_kind kind, ports::steady_time now) const;
    [[nodiscard]] bool is_trial_due(const suspect_part& suspect,
                                    ports::steady_time now) const;
    void limit_size();

    router_ranking m_routers;
    std::map<suspect_id, tracked_part> m_suspects;
    /// The id at which the next report in turn continues.
    suspect_id m_next_reported;
    /// When the last response that went on had begun: the latest ones and,
    /// until those are as many, the ones before. Bounds the memory.
    std::map<suspect_id, ports::steady_time> m_successes;
    std::map<suspect_id, ports::steady_time> m_older_successes;
    /// The latest ends of upstreams, by time, with their incarnations.
    std::multimap<ports::steady_time, std::uint64_t> m_ends;
    std::set<std::uint64_t> m_ended;
    /// When a response to any request last began, as far as this router knows.
    ports::steady_time m_output_at{};
};

} // namespace turmeric::domain
