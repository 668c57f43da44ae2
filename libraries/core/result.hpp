#pragma once

#include "libraries/core/error.hpp"

#include <cassert>
#include <utility>
#include <variant>

namespace turmeric
{

/// Either a value or an `error`. Not thread safe; a value type.
template <class Value>
class [[nodiscard]] result
{
public:
    /// Makes a result that holds a value. No precondition.
    result(Value value)
        : m_state(std::in_place_index<0>, std::move(value))
    {
    }

    /// Makes a result that holds an error. No precondition.
    result(error failure)
        : m_state(std::in_place_index<1>, std::move(failure))
    {
    }

    /// Returns whether the result holds a value. No precondition.
    [[nodiscard]] bool has_value() const
    {
        return m_state.index() == 0;
    }

    explicit operator bool() const
    {
        return has_value();
    }

    /// Returns the value. Precondition: `has_value()`.
    [[nodiscard]] Value& value()
    {
        assert(has_value());
        return std::get<0>(m_state);
    }

    /// Returns the value. Precondition: `has_value()`.
    [[nodiscard]] const Value& value() const
    {
        assert(has_value());
        return std::get<0>(m_state);
    }

    /// Returns the error. Precondition: `!has_value()`.
    [[nodiscard]] const turmeric::error& failure() const
    {
        assert(!has_value());
        return std::get<1>(m_state);
    }

private:
    std::variant<Value, turmeric::error> m_state;
};

/// The result of an operation that returns no value.
using status = result<std::monostate>;

/// Returns the status of a successful operation. Thread safe.
inline status success()
{
    return status(std::monostate{});
}

} // namespace turmeric
