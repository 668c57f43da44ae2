#pragma once

#include "libraries/core/error.hpp"
#include "libraries/core/json.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmeric::codecs
{

/// Reads the fields of one JSON object and records an error for the first field
/// that is missing or not valid, so that a decoder checks for errors only once,
/// at its end. Not thread safe.
class field_reader
{
public:
    /// Precondition: `object` outlives the reader. `path` is its path in the
    /// document and `code` the result code, both for errors. An `object` that
    /// is not a JSON object is recorded as an error.
    field_reader(const json& object, std::string path, result_code code);

    /// Returns an integer field, or 0 and records an error.
    std::int64_t integer(std::string_view name);

    /// Returns a non-negative integer field, or 0 and records an error.
    std::uint64_t unsigned_integer(std::string_view name);

    /// Returns a number field, or 0 and records an error.
    double number(std::string_view name);

    /// Returns a string field, or an empty string and records an error.
    std::string text(std::string_view name);

    /// Returns a boolean field, or false and records an error.
    bool boolean(std::string_view name);

    /// Returns an array field, or an empty array and records an error.
    const json& array(std::string_view name);

    /// Returns an object field, or an empty object and records an error.
    const json& object(std::string_view name);

    /// Tells whether the object has a field `name` that is not null.
    [[nodiscard]] bool has(std::string_view name) const;

    /// Returns the path of a field in the document.
    [[nodiscard]] std::string path_of(std::string_view name) const;

    /// Records that the field `name` is not valid, unless an error was recorded
    /// before.
    void reject(std::string_view name, std::string detail);

    /// Records the first error of the reader of an inner object, unless an
    /// error was recorded before.
    void adopt_error(const field_reader& inner);

    /// Returns the first error, with the path of the field.
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
