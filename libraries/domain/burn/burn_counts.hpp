#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace turmeric::domain
{

/// What an objective measures.
enum class objective_kind : std::uint8_t
{
    availability,
    first_token,
    token_gap,
    move_on_time,
};

inline constexpr std::array<std::string_view, 4> objective_kind_names = {
    "availability", "first_token", "token_gap", "move_on_time"};

/// Returns the name used in reports. Thread safe.
[[nodiscard]] constexpr std::string_view name_of(objective_kind kind)
{
    return objective_kind_names[static_cast<std::size_t>(kind)];
}

/// Identifies the events that are counted together.
struct burn_key
{
    std::string route;
    /// Empty: all client accounts together.
    std::string account;
    objective_kind kind = objective_kind::availability;

    bool operator==(const burn_key&) const = default;

    /// Orders by route, then client account, then kind. Thread safe.
    bool operator<(const burn_key& other) const
    {
        return std::tie(route, account, kind) <
               std::tie(other.route, other.account, other.kind);
    }
};

/// A number of events and how many of them missed the objective, since the
/// start of a process or within a window.
struct burn_counts
{
    std::int64_t events = 0;
    std::int64_t bad = 0;

    /// Adds other counts. Precondition: no event is in both.
    burn_counts& operator+=(const burn_counts& other)
    {
        events += other.events;
        bad += other.bad;
        return *this;
    }

    bool operator==(const burn_counts&) const = default;
};

} // namespace turmeric::domain
