#pragma once

#include "libraries/ports/response_defect.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace turmeric::adapters
{

/// Collects the head of a final response and checks it, for clients whose
/// library accepts any status and any name of a field. Interim responses are
/// checked and dropped. Not thread safe.
class response_head_reader
{
public:
    /// How far the head is.
    enum class progress : std::uint8_t
    {
        incomplete,
        complete,
        invalid,
    };

    /// Appends received bytes. Precondition: the last call returned
    /// `incomplete`, or there was none.
    progress append(std::string_view bytes);

    /// Returns what was wrong. `none` unless `append` returned `invalid`.
    [[nodiscard]] ports::response_defect defect() const;

    /// Returns whether any byte was received.
    [[nodiscard]] bool has_begun() const;

    /// Takes the head of the final response and the bytes after it.
    /// Precondition: `append` returned `complete`.
    std::string take_bytes();

private:
    progress fail(ports::response_defect defect);
    /// Checks the first `end` bytes, which are a head with its blank line.
    [[nodiscard]] ports::response_defect check_head(std::size_t end) const;

    std::string m_bytes;
    bool m_has_begun = false;
    std::int32_t m_interim_responses = 0;
    ports::response_defect m_defect = ports::response_defect::none;
};

} // namespace turmeric::adapters
