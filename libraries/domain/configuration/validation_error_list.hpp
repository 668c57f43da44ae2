#pragma once

#include "libraries/core/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace turmeric::domain
{

/// Collects the validation errors of a configuration. Not thread safe.
class validation_error_list
{
public:
    /// Adds a `configuration_invalid` error for the field at `path` unless
    /// `is_met`. Not thread safe.
    void expect(bool is_met, const std::string& path,
                const std::string& expectation);

    /// Expects a name of 1 to 63 characters out of a-z, 0-9, '.', '_' and
    /// '-', the first of which is a letter or digit. Not thread safe.
    void expect_name(const std::string& name, const std::string& path);

    /// Expects `lowest <= value <= highest`. Not thread safe.
    void expect_range(std::int64_t value, std::int64_t lowest,
                      std::int64_t highest, const std::string& path);

    /// Expects a share above 0 and up to 1. Not thread safe.
    void expect_share(double value, const std::string& path);

    /// Returns the collected errors and clears the list. Not thread safe.
    [[nodiscard]] std::vector<error> take();

private:
    std::vector<error> m_errors;
};

/// Returns whether the text is a host and a port from 1 to 65535, separated by
/// a colon. Thread safe.
[[nodiscard]] bool is_address(std::string_view text);

/// Returns whether the text is a SHA-256 digest in lower-case hexadecimal.
/// Thread safe.
[[nodiscard]] bool is_key_digest(std::string_view text);

} // namespace turmeric::domain
