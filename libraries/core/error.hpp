#pragma once

#include "libraries/core/outcome.hpp"
#include "libraries/core/result_code.hpp"

#include <chrono>
#include <optional>
#include <string>

namespace turmeric
{

/// A failure as a value: a numbered code and what a person needs to mend it.
struct error
{
    result_code code;
    /// The field, key or path at fault; empty when there is none.
    std::string field;
    /// One sentence for a person. Never holds a key or a prompt.
    std::string detail;
    outcome effect = outcome::not_run;
    /// Set where waiting may help.
    std::optional<std::chrono::milliseconds> retry_after = std::nullopt;
};

} // namespace turmeric
