#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace turmeric::domain
{

/// How urgent an alert is.
enum class alert_severity : std::uint8_t
{
    none,
    ticket,
    page,
};

/// Returns the name used in reports. Thread safe.
[[nodiscard]] constexpr std::string_view name_of(alert_severity severity)
{
    constexpr std::array<std::string_view, 3> names = {"none", "ticket",
                                                       "page"};
    return names[static_cast<std::size_t>(severity)];
}

/// A window over which burn rates are computed.
struct burn_window
{
    std::string_view name;
    std::chrono::seconds length{0};
};

inline constexpr std::array<burn_window, 5> burn_windows = {
    burn_window{"5m", std::chrono::minutes(5)},
    burn_window{"30m", std::chrono::minutes(30)},
    burn_window{"1h", std::chrono::hours(1)},
    burn_window{"6h", std::chrono::hours(6)},
    burn_window{"3d", std::chrono::hours(72)}};

/// Index into `burn_windows` of the window whose remaining error budget is
/// reported.
inline constexpr std::size_t budget_window_index = 4;

/// Alerts when the burn rate is above `rate` over both windows. The long window
/// shows that the failures are significant, the short one that they continue.
struct burn_rule
{
    /// Indexes into `burn_windows`.
    std::size_t long_window = 0;
    std::size_t short_window = 0;
    double rate = 0;
    alert_severity severity = alert_severity::none;
};

/// The usual pairs of windows: at these rates 2%, 5% and 10% of the error
/// budget of 30 days are spent within the long window.
inline constexpr std::array<burn_rule, 3> burn_rules = {
    burn_rule{2, 0, 14.4, alert_severity::page},
    burn_rule{3, 1, 6, alert_severity::page},
    burn_rule{4, 3, 1, alert_severity::ticket}};

} // namespace turmeric::domain
