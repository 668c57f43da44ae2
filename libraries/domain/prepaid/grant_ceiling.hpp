#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace turmeric::domain
{

/// The age of a copy of the store up to which the tokens that it does not count
/// are known to be bounded.
constexpr std::chrono::seconds covered_copy_age{15};

/// How long an account is consumed before its ceiling is lowered for the first
/// time, so that the rate is that of its ordinary use.
constexpr std::chrono::seconds min_rate_time{60};

/// Bounds what may be granted of an account after any copy of its record, so
/// that a copy tells how much it can lack if no router is left that knows.
///
/// All changes obey `now`. It is raised only to a `next` that the record has
/// had for `covered_copy_age`, so what is granted within that time of a copy is
/// at most the copy's `next`.
struct grant_ceiling
{
    /// The most tokens that may be granted in all; nothing for the prepaid
    /// total, whatever it is.
    std::optional<std::int64_t> now = std::nullopt;
    /// What `now` can be raised to, in the same form; never lower than `now`.
    std::optional<std::int64_t> next = std::nullopt;
    /// The version of the record that had this `next` first.
    std::int64_t next_since_version = 0;

    bool operator==(const grant_ceiling&) const = default;
};

/// Returns the ceiling that leaves an account enough tokens for
/// `covered_copy_age`. Returns none, which means the prepaid total, for an
/// account that is idle or would be used up soon, since a lower one could delay
/// its next burst. Thread safe.
[[nodiscard]] std::optional<std::int64_t>
choose_ceiling(std::int64_t granted_in_all, std::int64_t prepaid_tokens,
               std::int64_t tokens_per_second);

/// What a change of a record knows about its ceiling.
struct ceiling_change
{
    /// The version of the changed record.
    std::int64_t version = 0;
    /// As returned by `choose_ceiling`.
    std::optional<std::int64_t> wanted = std::nullopt;
    /// Whether this router has seen the same `next` for `covered_copy_age`.
    bool is_next_due = false;
    /// Whether the account has been consumed for `min_rate_time`.
    bool may_lower = false;
};

/// Returns the ceiling after a change of the record. Thread safe.
[[nodiscard]] grant_ceiling advance_ceiling(grant_ceiling ceiling,
                                            const ceiling_change& change);

/// Returns how many more tokens may be granted; `prepaid_tokens` less what is
/// granted without a ceiling. Thread safe.
[[nodiscard]] std::int64_t tokens_below(const grant_ceiling& ceiling,
                                        std::int64_t granted_in_all,
                                        std::int64_t prepaid_tokens);

/// Returns the most tokens that can have been granted in all by
/// `covered_copy_age` after a copy. Thread safe.
[[nodiscard]] std::int64_t granted_at_most_since(const grant_ceiling& copied,
                                                 std::int64_t granted_in_all,
                                                 std::int64_t prepaid_tokens);

} // namespace turmeric::domain
