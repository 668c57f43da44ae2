#pragma once

#include "libraries/core/error.hpp"
#include "libraries/core/json.hpp"

#include <utility>
#include <variant>

namespace turmeric::controller
{

/// A refusal of an operator's call, with further members for its
/// problem document.
struct operator_error
{
    error failure;
    json problem_members = json::object();
};

/// The reply of an operator's call, or why there is none.
template <class Reply>
using operator_result = std::variant<Reply, operator_error>;

/// Makes a refusal without further members. Thread safe.
[[nodiscard]] inline operator_error make_operator_error(error failure)
{
    return operator_error{std::move(failure)};
}

} // namespace turmeric::controller
