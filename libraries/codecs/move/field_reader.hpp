#pragma once

#include "libraries/core/error.hpp"
#include "libraries/core/json.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmeric::codecs
{

/// Reads the fields of a JSON object and keeps the first fault, so that a
/// decoder checks once at its end. Not thread safe; lives no longer than the
/// object.
class field_reader
{
public:
    /// Reads `object`, whose place in the document is `path`; faults carry
    /// `code`. No precondition.
    field_reader(const json& object, std::string path, result_code code);

    /// Returns a whole number, or 0 and a fault.
    std::int64_t integer(std::string_view name);

    /// Returns a whole number without a sign, or 0 and a fault.
    std::uint64_t unsigned_integer(std::string_view name);

    /// Returns a number, or 0 and a fault.
    double number(std::string_view name);

    /// Returns a text, or an empty one and a fault.
    std::string text(std::string_view name);

    /// Returns a truth value, or false and a fault.
    bool boolean(std::string_view name);

    /// Returns an array, or an empty one and a fault.
    const json& array(std::string_view name);

    /// Returns an object, or an empty one and a fault.
    const json& object(std::string_view name);

    /// Tells whether there is a field of that name that is not null.
    [[nodiscard]] bool has(std::string_view name) const;

    /// Returns the place of a field in the document.
    [[nodiscard]] std::string path_of(std::string_view name) const;

    /// Notes a fault at `name`, unless there is one already.
    void reject(std::string_view name, std::string detail);

    /// Takes over the fault of a reader of an inner object.
    void adopt_error(const field_reader& inner);

    /// Returns the first fault.
    [[nodiscard]] const std::optional<error>& first_error() const;

private:
    const json* find(std::string_view name, bool (json::*is_type)() const,
                     std::string_view type_name);

    const json& m_object;
    std::string m_path;
    result_code m_code;
    std::optional<error> m_first_error;
};

} // namespace turmeric::codecs
