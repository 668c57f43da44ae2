#pragma once

#include "libraries/core/outcome.hpp"
#include "libraries/core/result_code.hpp"

#include <chrono>
#include <optional>
#include <string>

namespace turmeric
{

/// A failure as a value: a numbered code and the details that a person needs to
/// correct the cause.
struct error
{
    result_code code;
    /// The field, key or path that caused the failure; empty if there is none.
    std::string field;
    /// A description for a person, of one sentence. Never contains an API key
    /// or a prompt.
    std::string detail;
    /// Whether the failed request or write may have taken effect.
    outcome effect = outcome::not_run;
    /// The time after which a retry may succeed; unset if waiting does not
    /// help.
    std::optional<std::chrono::milliseconds> retry_after = std::nullopt;
};

} // namespace turmeric
