#pragma once

#include "libraries/domain/move/guard_settings.hpp"
#include "libraries/domain/move/move_state.hpp"
#include "libraries/domain/move/version_evidence.hpp"
#include "libraries/domain/move/version_judge.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace turmeric::domain
{

/// Protects one router during one move. While no controller makes contact, the
/// guard limits the new version's share. When this router's own evidence shows
/// that the version is bad, the guard cuts it: the version gets no more
/// requests from this router. Not thread safe.
class move_guard
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Starts the guard of a move. Precondition: `state` is the state that this
    /// router read last.
    move_guard(const guard_settings& settings, move_state state,
               time_point now);

    /// Applies a state that was read. A state is ignored when it belongs to
    /// another move, has no higher sequence number than the state in force, or
    /// has a lower fencing number. A higher share takes effect only
    /// once a controller makes contact, unless one did within `stale_after`:
    /// the state may be an old one that a peer had kept.
    void apply(const move_state& state, time_point now);

    /// Records a request from the controller with this fencing number; one
    /// lower than the state's is ignored.
    void record_controller_contact(std::int64_t fencing, time_point now);

    /// Returns the share of new requests that the new version may receive now,
    /// in parts per million.
    [[nodiscard]] std::int32_t share(time_point now) const;

    /// Counts one request of the old or the new version, and cuts the new
    /// version when the counts show that it is bad. Returns true when this
    /// request caused the cut.
    bool record(bool is_new_version, const request_observation& observation,
                time_point now);

    /// Cuts the new version at the request of the controller with this fencing
    /// number; one lower than the state's is ignored. Precondition: `reason`
    /// is not empty.
    void cut(std::int64_t fencing, const std::string& reason);

    /// Returns why this router cut the version; empty when it did not.
    [[nodiscard]] const std::string& cut_reason() const;

    /// Returns this router's evidence on the old version.
    [[nodiscard]] const version_evidence& from_evidence() const;

    /// Returns this router's evidence on the new version.
    [[nodiscard]] const version_evidence& to_evidence() const;

    /// Returns the state in force at this router.
    [[nodiscard]] const move_state& state() const;

private:
    [[nodiscard]] tally_pair tally() const;
    [[nodiscard]] bool has_controller_contact_within(std::chrono::seconds age,
                                                     time_point now) const;
    [[nodiscard]] bool is_adverse(const request_observation& observation) const;
    void judge();

    guard_settings m_settings;
    move_state m_state;
    /// The share last confirmed by contact with a controller. A lower share
    /// in a state that was read needs no confirmation.
    std::int32_t m_confirmed_share;
    std::optional<time_point> m_last_contact;
    time_point m_window_start;
    std::chrono::nanoseconds m_window_interval;
    version_evidence m_from;
    version_evidence m_to;
    version_judge m_judge;
    std::string m_cut_reason;
};

} // namespace turmeric::domain
