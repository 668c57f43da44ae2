#pragma once

#include "libraries/domain/configuration/declarations.hpp"

#include <chrono>

namespace turmeric::domain
{

/// What the size of a grant depends on.
struct grant_policy_input
{
    /// Tokens of the budget that are not settled.
    tokens remaining = 0;
    /// The incarnation's spend rate, tokens per minute.
    tokens rate = 0;
    /// All incarnations' spend rates, tokens per minute.
    tokens total_rate = 0;
    /// Some request waits for tokens that others hold.
    bool is_recalled = false;
};

/// Says how many tokens an incarnation should hold from a budget beyond
/// what waiting requests need. Implementations are thread safe.
class grant_policy
{
public:
    grant_policy() = default;
    grant_policy(const grant_policy&) = delete;
    grant_policy& operator=(const grant_policy&) = delete;
    virtual ~grant_policy() = default;

    /// Returns the tokens to hold. Thread safe.
    [[nodiscard]] virtual tokens
    target(const grant_policy_input& input) const = 0;

    /// Returns the tokens of the budget that are granted to waiting requests
    /// only, never ahead of need. Thread safe.
    [[nodiscard]] virtual tokens
    reserve(const grant_policy_input& input) const = 0;
};

/// Settings of `rate_share_policy`.
struct rate_share_settings
{
    /// Spending that a grant covers without the platform.
    std::chrono::seconds horizon{4500};
    /// Part of the remaining tokens that is never granted ahead.
    double reserve = 0.03;
    /// Nothing is granted ahead when the fleet would spend the remaining
    /// tokens within this time.
    std::chrono::seconds min_time_to_exhaustion{60};
    /// Nothing is granted ahead when fewer tokens remain.
    tokens min_remaining_tokens = 20'000;
};

/// A grant covers the horizon at the incarnation's own rate, and at most its
/// share, by rate, of what remains. Thread safe.
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
