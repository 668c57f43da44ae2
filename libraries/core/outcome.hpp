#pragma once

#include <string_view>

namespace turmeric
{

/// What a refused caller may conclude about its request.
enum class outcome
{
    /// Nothing was dispatched to any upstream.
    not_run,
    /// The request may have run; repeating it may run it twice.
    outcome_unknown,
};

/// Returns the name used on the wire. Thread safe.
[[nodiscard]] constexpr std::string_view name_of(outcome value)
{
    return value == outcome::not_run ? "not_run" : "outcome_unknown";
}

} // namespace turmeric
