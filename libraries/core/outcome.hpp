#pragma once

#include <string_view>

namespace turmeric
{

/// Whether a request that failed may have run.
enum class outcome
{
    /// The request did not run: nothing was sent to any upstream.
    not_run,
    /// The request may have run; a retry may run it a second time.
    outcome_unknown,
};

/// Returns the name used on the wire. Thread safe.
[[nodiscard]] constexpr std::string_view name_of(outcome value)
{
    return value == outcome::not_run ? "not_run" : "outcome_unknown";
}

} // namespace turmeric
