#pragma once

#include "libraries/core/error.hpp"
#include "libraries/core/json.hpp"

#include <utility>
#include <variant>

namespace turmeric::controller
{

/// Why an operator's request was refused, with additional members for the
/// problem document.
struct operator_error
{
    error failure;
    json problem_members = json::object();
};

/// The reply to an operator's request, or the error.
template <class Reply>
using operator_result = std::variant<Reply, operator_error>;

/// Makes an error without additional members. Thread safe.
[[nodiscard]] inline operator_error make_operator_error(error failure)
{
    return operator_error{std::move(failure)};
}

} // namespace turmeric::controller
