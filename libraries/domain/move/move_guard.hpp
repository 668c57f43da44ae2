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

/// One router's guard of one move: bounds the new version's share and cuts
/// the version on this router's own evidence. Not thread safe.
class move_guard
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Starts to guard. Precondition: `state` is what this router last read.
    move_guard(const guard_settings& settings, move_state state,
               time_point now);

    /// Takes a state that was read; one of another move, or with a lower
    /// sequence or fencing number, is ignored. A higher share waits until a
    /// controller is heard of, unless one was lately: the state may be an old
    /// one that a peer had kept.
    void apply(const move_state& state, time_point now);

    /// Notes that a controller spoke, by the fencing number it used; one
    /// lower than the state's is ignored.
    void record_controller_contact(std::int64_t fencing, time_point now);

    /// Returns the share of new requests that the new version may get now,
    /// in parts in a million.
    [[nodiscard]] std::int32_t share(time_point now) const;

    /// Counts one request of the old or the new version; cuts the new
    /// version when its record shows that it is bad. Returns true when this
    /// request made the cut.
    bool record(bool is_new_version, const request_observation& observation,
                time_point now);

    /// Cuts the new version on the word of a controller with this fencing
    /// number; one lower than the state's is ignored. Precondition: `reason`
    /// is not empty.
    void cut(std::int64_t fencing, const std::string& reason);

    /// Returns why the version was cut here; empty when it was not.
    [[nodiscard]] const std::string& cut_reason() const;

    /// Returns what this router counted of the old version.
    [[nodiscard]] const version_evidence& from_evidence() const;

    /// Returns what this router counted of the new version.
    [[nodiscard]] const version_evidence& to_evidence() const;

    /// Returns the state in force here.
    [[nodiscard]] const move_state& state() const;

private:
    [[nodiscard]] tally_pair tally() const;
    [[nodiscard]] bool has_controller_contact_within(std::chrono::seconds age,
                                                     time_point now) const;
    [[nodiscard]] bool is_adverse(const request_observation& observation) const;
    void judge();

    guard_settings m_settings;
    move_state m_state;
    /// The share that a live controller has confirmed.
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
