#pragma once

#include "libraries/domain/configuration/declarations.hpp"

#include <chrono>

namespace turmeric::domain
{

/// The state of a budget and of an incarnation that determines the size of a
/// grant.
struct grant_policy_input
{
    /// Tokens of the budget that are not settled.
    tokens remaining = 0;
    /// The incarnation's spend rate in tokens per minute.
    tokens rate = 0;
    /// Sum of all incarnations' spend rates in tokens per minute.
    tokens total_rate = 0;
    /// A request could not be granted its tokens, so unused tokens are
    /// recalled.
    bool is_recalled = false;
};

/// Decides how many tokens an incarnation is granted from a budget in advance,
/// beyond the needs of waiting requests. Implementations are thread safe.
class grant_policy
{
public:
    grant_policy() = default;
    grant_policy(const grant_policy&) = delete;
    grant_policy& operator=(const grant_policy&) = delete;
    virtual ~grant_policy() = default;

    /// Returns the tokens that the incarnation should have outstanding. Thread
    /// safe.
    [[nodiscard]] virtual tokens
    target(const grant_policy_input& input) const = 0;

    /// Returns the tokens of the budget that are granted only to waiting
    /// requests, never in advance. Thread safe.
    [[nodiscard]] virtual tokens
    reserve(const grant_policy_input& input) const = 0;
};

/// Settings of `rate_share_policy`.
struct rate_share_settings
{
    /// How long a grant covers spending while the platform is unavailable.
    std::chrono::seconds horizon{4500};
    /// Fraction of the remaining tokens that is never granted in advance.
    double reserve = 0.03;
    /// No tokens are granted in advance if the fleet would spend the remaining
    /// tokens in less than this time.
    std::chrono::seconds min_time_to_exhaustion{60};
    /// No tokens are granted in advance if no more than this number remains.
    tokens min_remaining_tokens = 20'000;
};

/// Sizes a grant to cover the horizon at the incarnation's own spend rate, but
/// at most the incarnation's share, by spend rate, of the remaining tokens.
/// Thread safe.
class rate_share_policy final : public grant_policy
{
public:
    /// Precondition: `reserve` is within 0 and 1.
    explicit rate_share_policy(const rate_share_settings& settings);

    [[nodiscard]] tokens target(const grant_policy_input& input) const override;
    [[nodiscard]] tokens
    reserve(const grant_policy_input& input) const override;

private:
    rate_share_settings m_settings;
};

} // namespace turmeric::domain
