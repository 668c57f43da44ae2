#pragma once

#include "libraries/core/json.hpp"

#include <cstddef>

namespace turmeric::codecs
{

/// What a document may hold. The memory of a parsed document is proportional
/// to its values, whatever its size in bytes.
struct document_limits
{
    /// The most arrays and objects that may lie within each other.
    std::size_t depth = 0;
    /// The most arrays, objects and other values in all.
    std::size_t values = 0;
};

/// Ends the parse of a document that exceeds its limits. Keeps no values. Not
/// thread safe.
class limit_checker final : public nlohmann::json_sax<json>
{
public:
    explicit limit_checker(document_limits limits);

    /// Returns whether a limit ended the parse.
    [[nodiscard]] bool is_exceeded() const;

    bool null() override;
    bool boolean(bool value) override;
    bool number_integer(number_integer_t value) override;
    bool number_unsigned(number_unsigned_t value) override;
    bool number_float(number_float_t value, const string_t& text) override;
    bool string(string_t& value) override;
    bool binary(binary_t& value) override;
    bool start_object(std::size_t elements) override;
    bool key(string_t& value) override;
    bool end_object() override;
    bool start_array(std::size_t elements) override;
    bool end_array() override;
    bool parse_error(std::size_t position, const std::string& token,
                     const nlohmann::detail::exception& failure) override;

private:
    bool count();
    bool enter();
    bool leave();

    document_limits m_limits;
    std::size_t m_depth = 0;
    std::size_t m_values = 0;
};

} // namespace turmeric::codecs
